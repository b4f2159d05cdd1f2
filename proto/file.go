package proto

import (
	"net/netip"
	"time"
)

// FileKindDeployment is the kind of a configuration file.
const FileKindDeployment = "deployment"

// File is a declarative configuration file, which is applied as a whole.
type File struct {
	Kind       string      `json:"kind" jsonschema:"enum=deployment,description=Always deployment."`
	Name       string      `json:"name" jsonschema:"description=Name of the file; applying a file of the same name replaces it as a whole."`
	Objective  Objective   `json:"objective,omitempty" jsonschema:"description=How attainment is weighed against cost by stage."`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Pools      []Pool      `json:"pools,omitempty"`
	Services   []Service   `json:"services,omitempty"`
}

// Objective weighs attainment against cost by stage. Both weights are between 0 and 1.
type Objective struct {
	Attainment float64 `json:"attainment" jsonschema:"minimum=0,maximum=1"`
	Cost       float64 `json:"cost" jsonschema:"minimum=0,maximum=1"`
}

// Workspace is a tenant with a fair share and the hashes of its API keys.
type Workspace struct {
	Name      string   `json:"name"`
	Weight    float64  `json:"weight" jsonschema:"description=Fair share relative to other workspaces."`
	KeyHashes []string `json:"keyHashes" jsonschema:"description=SHA-256 of each bearer key in hexadecimal."`
}

// PoolKind tells what kind of stages the targets of a pool run.
type PoolKind string

// Pool kinds.
const (
	PoolEncoder   PoolKind = "encoder"
	PoolRetriever PoolKind = "retriever"
	PoolReranker  PoolKind = "reranker"
	PoolEngine    PoolKind = "engine"
	PoolService   PoolKind = "service"
)

// Pure reports whether running a stage twice on a pool of this kind has no effect besides its cost.
func (k PoolKind) Pure() bool {
	return k == PoolEncoder || k == PoolRetriever || k == PoolReranker
}

// Pool is a group of targets that run the same stages.
type Pool struct {
	Name    string   `json:"name"`
	Kind    PoolKind `json:"kind" jsonschema:"enum=encoder,enum=retriever,enum=reranker,enum=engine,enum=service"`
	Models  []string `json:"models,omitempty" jsonschema:"description=Models that the pool's targets may be ordered to load."`
	Targets []Target `json:"targets"`
}

// Target is a process that runs stages.
type Target struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address" jsonschema:"type=string"`
	Zone    Zone           `json:"zone"`
	VM      VM             `json:"vm"`
	Slots   int            `json:"slots,omitempty" jsonschema:"description=Requests that it runs at once; learnt from its load reports if left out."`
	// ChecksOrders means that the target rejects orders with an outdated lease epoch.
	ChecksOrders bool `json:"checksOrders,omitempty"`
	// ExportsCache means that the target can export and import KV caches.
	ExportsCache bool `json:"exportsCache,omitempty"`
}

// Service is a pipeline of stages with one deadline.
type Service struct {
	Name       string   `json:"name"`
	Workspaces []string `json:"workspaces,omitempty" jsonschema:"description=Workspaces that may call it; all if left out."`
	Deadline   Duration `json:"deadline"`
	Repeatable *bool    `json:"repeatable,omitempty" jsonschema:"description=False if the service may run at most once for each request."`
	Stages     []Stage  `json:"stages"`
}

// Stage is one step of a pipeline.
type Stage struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	Model      string `json:"model,omitempty"`
	Repeatable *bool  `json:"repeatable,omitempty" jsonschema:"description=False if the stage may run at most once for each request."`
	Stream     bool   `json:"stream,omitempty"`
	MaxTokens  int    `json:"maxTokens,omitempty"`
}

// MayRepeat reports whether the stage may run more than once on a pool of the given kind. requestRepeatable tells
// whether the caller marked the request as repeatable.
func (s *Stage) MayRepeat(kind PoolKind, requestRepeatable bool) bool {
	if s.Repeatable != nil {
		return *s.Repeatable
	}
	return requestRepeatable || kind.Pure()
}

// MayRepeat reports whether the service is declared repeatable, which is the default.
func (s *Service) MayRepeat() bool { return s.Repeatable == nil || *s.Repeatable }

// StopPlan is a planned stop of a VM.
type StopPlan struct {
	ID    string    `json:"id"`
	VM    VM        `json:"vm"`
	At    time.Time `json:"at"`
	Force bool      `json:"force,omitempty"`
}
