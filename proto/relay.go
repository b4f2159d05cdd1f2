package proto

import (
	"net/netip"
	"time"
)

// Routing is one complete version of the configuration that a platform stores for the daemons that relay requests.
type Routing struct {
	Version    uint64
	Routes     []Route
	Pools      map[string]*RelayPool
	Limits     CallerLimits
	Workspaces []RelayWorkspace
}

// RouteKind tells how often a route's requests may run and whether their answers are streamed.
type RouteKind uint8

// Route kinds.
const (
	// RouteOnce marks requests that run at most once.
	RouteOnce RouteKind = iota
	// RouteRepeatable marks requests that may run more than once.
	RouteRepeatable
	// RouteStream marks requests whose answer is an event stream.
	RouteStream
)

// Route sends the requests of a host and path prefix to one or several pools.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a request may stay open; 0 means no limit.
	Timeout time.Duration
	// LatencyGoal is the time within which an answer has its full value.
	LatencyGoal time.Duration
	// MaxPause is the longest pause between stream events that still counts as on time.
	MaxPause time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Split lists the pools that receive the route's requests, with their weights.
	Split []WeightedPool
	// MaxTargets is the largest number of targets that may run one request.
	MaxTargets int
	Stages     []RouteStage
	// Public routes require no API key.
	Public bool
	// Resumable streams may be continued by another target.
	Resumable bool
	// AllowedRegions restricts the regions in which the requests may be processed.
	AllowedRegions AllowedRegions
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteRepeatable || r.Kind == RouteStream && r.Resumable
}

// WeightedPool is a pool with its share of a route's requests.
type WeightedPool struct {
	Pool   string
	Weight float64
}

// RouteStage is a stage that processes the pieces of a request before the request itself can run.
type RouteStage struct {
	Pool string
	// DependsOn lists the indexes of the stages whose results this stage needs.
	DependsOn []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int
}

// RelayPool is a group of interchangeable targets.
type RelayPool struct {
	Name       string
	HealthPath string
	// MaxConns is the largest number of connections that one target accepts from all callers together.
	MaxConns int
	// Batch is set for pools that process pieces in batches.
	Batch *BatchSpec
	// Engine is set for pools of model engines.
	Engine *EngineSpec
	Cold   ColdSpec
}

// ColdSpec describes how the targets of a pool warm up after a start.
type ColdSpec struct {
	// WarmUpTime is how long a target stays cold after a start.
	WarmUpTime time.Duration
	// RequestsPerSecond is the rate that a cold target can handle; at a much higher rate it fails. 0 means no limit.
	RequestsPerSecond float64
}

// BatchSpec describes one target of a pool that processes pieces in batches.
type BatchSpec struct {
	// Slots is the number of calls that the target processes concurrently.
	Slots int
	// MaxPieces is the largest number of pieces in one call.
	MaxPieces int
	// CallCost is the fixed time of a call, without its pieces.
	CallCost time.Duration
	// PieceCost is the approximate time that each piece adds to a call.
	PieceCost time.Duration
	// MaxResultBytes is the largest total size of the results that a target stores.
	MaxResultBytes int64
	// ResultLifetime is how long a target keeps a result that nobody frees.
	ResultLifetime time.Duration
}

// EngineSpec describes one model engine.
type EngineSpec struct {
	Slots              int
	CacheTokens        int
	CacheBytesPerToken int
	TokensPerEvent     int
	MemoryCopies       bool
}

// CallerLimits limits the size of requests and the time that callers may take to send them.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// RelayWorkspace is a customer with its API keys.
type RelayWorkspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if it is set.
	Priority *int
	// AllowedRegions restricts the customer's requests to regions, in addition to the restriction of the route.
	AllowedRegions AllowedRegions
}

// RelayTarget is one run of a target, as the target registered itself with the platform.
type RelayTarget struct {
	ID      string
	Pool    string
	Address netip.AddrPort
	Zone    string
	// Region is the region of the zone; empty if the settings do not contain the zone.
	Region string
	Slots  int
	// Software is the version of the target's software, without an order. Streams of two versions do not fit together.
	Software string
	// Leaving targets get no new requests.
	Leaving bool
	// ColdRemaining is how long the target stays cold, counted from when the entry was written.
	ColdRemaining time.Duration
	// StartedAt is when this run of the target started, as reported by the target; zero if the platform's targets do
	// not report it. A target may restart under the same ID and then knows nothing of its earlier requests.
	StartedAt time.Time
}

// Evacuation tells whether the targets of an availability zone may get new requests.
type Evacuation struct {
	Zone string `cbor:"1,keyasint"`
	// Version is the store revision of the change that started or ended the evacuation.
	Version Revision `cbor:"2,keyasint"`
	// Ended means that the evacuation was cancelled.
	Ended bool `cbor:"3,keyasint,omitempty"`
	// LostInRestore means that the evacuation was missing after the store was restored, as of Version, and that the
	// operator may be about to request it again.
	LostInRestore bool `cbor:"4,keyasint,omitempty"`
}

// RoutingAsk requests the routing configuration, target list and evacuations if they are newer than these versions.
type RoutingAsk struct {
	Routing     uint64   `cbor:"1,keyasint"`
	Targets     Revision `cbor:"2,keyasint"`
	Evacuations Revision `cbor:"3,keyasint,omitzero"`
	// Packed is set if the requester understands a packed configuration, and RoutingDigest is the digest of the one that it has.
	Packed        bool   `cbor:"4,keyasint,omitempty"`
	RoutingDigest uint64 `cbor:"5,keyasint,omitempty"`
}

// TargetDocument is the entry of a target in the platform's own format.
type TargetDocument struct {
	ID      string   `cbor:"1,keyasint"`
	Body    []byte   `cbor:"2,keyasint"`
	Version Revision `cbor:"3,keyasint"`
	// Removed entries have no body. Lapsed marks removed entries that may come back, because they expired while the
	// store was unavailable.
	Removed bool `cbor:"4,keyasint,omitempty"`
	Lapsed  bool `cbor:"5,keyasint,omitempty"`
}

// InvalidEntry marks a revision of a target entry that must not be used although it looks valid. Only daemons that knew
// the target before can tell.
type InvalidEntry struct {
	ID      string   `cbor:"1,keyasint"`
	Version Revision `cbor:"2,keyasint"`
	// Restored means that the entry reappeared when the store was restored from a copy, after its target had left. If
	// the entry persists, the target exists after all.
	Restored bool `cbor:"3,keyasint,omitempty"`
}

// RoutingAnswer holds the parts that are newer, in the platform's own format.
type RoutingAnswer struct {
	Routing       uint64           `cbor:"1,keyasint"`
	RoutingBody   []byte           `cbor:"2,keyasint,omitempty"`
	Targets       Revision         `cbor:"3,keyasint"`
	TargetEntries []TargetDocument `cbor:"4,keyasint,omitempty"`
	HasTargets    bool             `cbor:"5,keyasint,omitempty"`
	// Full is set if TargetEntries is the complete list; otherwise it holds the changes since the version in the request.
	Full bool `cbor:"6,keyasint,omitempty"`
	// InvalidEntries holds all invalid entries that the sender knows of, regardless of the requested versions.
	InvalidEntries []InvalidEntry `cbor:"7,keyasint,omitempty"`
	// Evacuations holds the state of each zone that was ever evacuated, if the sender knows a newer one than the requester.
	Evacuations []Evacuation `cbor:"8,keyasint,omitempty"`
	// Notices holds the notices of listed targets that the sender knows of.
	Notices []TargetNotice `cbor:"9,keyasint,omitempty"`
	// CompleteSince is the revision after which a full list has all removed entries too; zero if it has none.
	CompleteSince Revision `cbor:"10,keyasint,omitzero"`
	// RoutingAge is how long ago a daemon first got the sender's configuration from the store.
	RoutingAge time.Duration `cbor:"11,keyasint,omitempty"`
	// RoutingPacked is sent instead of RoutingBody to daemons that understand it.
	RoutingPacked PackedDocument `cbor:"12,keyasint,omitzero"`
	// RoutingBusy means that the sender has a newer configuration, but is sending it to others.
	RoutingBusy bool `cbor:"13,keyasint,omitempty"`
}

// HasRouting reports whether the answer has a configuration.
func (a *RoutingAnswer) HasRouting() bool {
	return len(a.RoutingBody) > 0 || len(a.RoutingPacked.Parts) > 0
}

// PiecesAsk requests all pieces of one stage of a request from the daemon that batches the calls to a pool.
type PiecesAsk struct {
	Pool      string   `cbor:"1,keyasint"`
	RequestID string   `cbor:"2,keyasint"`
	Stage     int      `cbor:"3,keyasint"`
	Pieces    int      `cbor:"4,keyasint"`
	Key       string   `cbor:"5,keyasint,omitempty"`
	Inputs    []string `cbor:"6,keyasint,omitempty"`
	Zone      string   `cbor:"7,keyasint,omitempty"`
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank int `cbor:"8,keyasint"`
	// DueIn is the time from now until the stage must end for the answer to be on time.
	DueIn time.Duration `cbor:"9,keyasint"`
	// TimeLeft is the time from now until the result is of no use any more.
	TimeLeft time.Duration `cbor:"10,keyasint"`
	// ResultBytes is the approximate size of one result.
	ResultBytes int `cbor:"11,keyasint"`
	// NoWorkDone means that no stage of the request has run yet, so refusing it wastes no work.
	NoWorkDone bool `cbor:"12,keyasint,omitempty"`
	// Attempt distinguishes the repeated calls that one request makes for the same stage.
	Attempt int `cbor:"13,keyasint,omitempty"`
	// AnswerStarted means that the caller has received part of the answer, so giving up the stage would break the answer off.
	AnswerStarted bool `cbor:"14,keyasint,omitempty"`
	// LatencyGoal is the time, counted from the caller's request, within which the answer has its full value.
	LatencyGoal time.Duration `cbor:"15,keyasint,omitempty"`
	// InputPool is the pool that produced the inputs. It is set only if nothing else in the request reads them, so that
	// they are freed as soon as they were fetched.
	InputPool string `cbor:"16,keyasint,omitempty"`
	// Shard is the part of the pool's targets that does the work, and InputShard the part of InputPool that produced the inputs.
	Shard      int `cbor:"17,keyasint,omitempty"`
	InputShard int `cbor:"18,keyasint,omitempty"`
	// Digest is the digest of the request.
	Digest         RequestDigest  `cbor:"19,keyasint,omitempty"`
	AllowedRegions AllowedRegions `cbor:"20,keyasint,omitzero"`
	// InputsLiveFor is the time from now until the first of the inputs expires at the target that holds it; 0 if unknown.
	InputsLiveFor time.Duration `cbor:"21,keyasint,omitempty"`
}

// PieceOutcome tells how the pieces of a stage ended.
type PieceOutcome uint8

// Piece outcomes.
const (
	// PiecesDone means that all results are available.
	PiecesDone PieceOutcome = iota
	// PiecesRefused means that the pool is too busy to deliver the result in time.
	PiecesRefused
	// PiecesLost means that an input no longer exists.
	PiecesLost
	// PiecesFailed means that no target could do the work.
	PiecesFailed
	// PiecesLate means that the time ran out.
	PiecesLate
	// PiecesNoRoom means that the target had no space for a result.
	PiecesNoRoom
	// PiecesElsewhere means that the daemon does not batch for the pool now and another daemon should be asked.
	PiecesElsewhere
)

// String returns the name of the outcome.
func (f PieceOutcome) String() string {
	names := [...]string{"done", "refused", "lost", "failed", "late", "noRoom", "elsewhere"}
	if int(f) < len(names) {
		return names[f]
	}
	return "unknown"
}

// PiecesAnswer holds the handles of the results in the order of the pieces.
type PiecesAnswer struct {
	Outcome    PieceOutcome  `cbor:"1,keyasint"`
	Handles    []string      `cbor:"2,keyasint,omitempty"`
	Zone       string        `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Detail     string        `cbor:"5,keyasint,omitempty"`
	// QueueDelay is how long an equal job that arrived now would wait in the queue.
	QueueDelay time.Duration `cbor:"6,keyasint,omitempty"`
	// QueuedFor is how long the pieces waited for the call that produced the last of them, and CallTime how long that call took.
	QueuedFor time.Duration `cbor:"7,keyasint,omitempty"`
	CallTime  time.Duration `cbor:"8,keyasint,omitempty"`
	// InputsFreed means that the inputs were freed, as the PiecesAsk allowed.
	InputsFreed bool `cbor:"9,keyasint,omitempty"`
	// Load is the state of the shard's queue; nil if the daemon that batches for it does not report it.
	Load *StageLoad `cbor:"10,keyasint,omitempty"`
	// ResultAge is how long before the answer the first of the results was made; 0 if all are from the last call.
	ResultAge time.Duration `cbor:"11,keyasint,omitempty"`
	// Shard is the part of the pool that was asked. It is set by the receiver and not sent.
	Shard int `cbor:"-"`
}

// StageLoad is the state of the queue of a shard of a pool, or of the whole pool, as its batchers see it.
type StageLoad struct {
	// Capacity is how many targets of usual speed would do the work of those in service.
	Capacity float64 `cbor:"1,keyasint,omitempty"`
	// QueueDelay is the delay to the end of the queue, behind the jobs of all ranks and the late ones.
	QueueDelay time.Duration `cbor:"2,keyasint,omitempty"`
	// PieceCost is the target time that a piece costs in a full call, or its share of the result storage in time if that is more.
	PieceCost time.Duration `cbor:"3,keyasint,omitempty"`
	// Backlog is the target time of all queued pieces.
	Backlog time.Duration `cbor:"4,keyasint,omitempty"`
}

// PiecesDrop tells the daemon that batches the calls to a pool that results or a whole stage are no longer needed.
type PiecesDrop struct {
	Pool      string   `cbor:"1,keyasint"`
	Handles   []string `cbor:"2,keyasint,omitempty"`
	RequestID string   `cbor:"3,keyasint,omitempty"`
	Stage     int      `cbor:"4,keyasint,omitempty"`
	// Shard is the part of the pool's targets that the results or the stage belong to.
	Shard int `cbor:"5,keyasint,omitempty"`
}

// PromptPart is one part of a prompt that other prompts may share.
type PromptPart struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// PlaceAsk requests a target from the daemon that places the requests of a pool of engines.
type PlaceAsk struct {
	Pool        string       `cbor:"1,keyasint"`
	Route       string       `cbor:"2,keyasint"`
	SharedParts []PromptPart `cbor:"3,keyasint,omitempty"`
	// OwnTokens is the number of prompt tokens that are not shared with other prompts.
	OwnTokens int `cbor:"4,keyasint"`
	// Zone is the zone that holds the request's inputs, or else the zone of the sender. InputBytes is the size of the inputs.
	Zone       string `cbor:"5,keyasint"`
	InputBytes int    `cbor:"6,keyasint,omitempty"`
	// Excluded lists the targets that the request must not be sent to.
	Excluded []string `cbor:"7,keyasint,omitempty"`
	// MaxPause is the longest pause between stream events that still counts as on time; 0 means no limit.
	MaxPause time.Duration `cbor:"8,keyasint,omitempty"`
	// Cold lists the cold targets to which the sender, and no other daemon, may send a request now.
	Cold           []string       `cbor:"9,keyasint,omitempty"`
	AllowedRegions AllowedRegions `cbor:"10,keyasint,omitzero"`
	// Group is the group of the pool's engines to choose from; 0 for all.
	Group int `cbor:"11,keyasint,omitempty"`
	// Software is the software version that the target must have; empty for any.
	Software string `cbor:"12,keyasint,omitempty"`
}

// EngineTimes holds what was learned about the engines of a pool: the time that each request, each prompt token and
// each concurrent request adds to the time to the first event.
type EngineTimes struct {
	PerRequest           time.Duration `cbor:"1,keyasint"`
	PerPromptToken       time.Duration `cbor:"2,keyasint"`
	PerConcurrentRequest time.Duration `cbor:"3,keyasint"`
}

// AdmitAsk asks the daemon that places the requests of a pool of engines whether to start a request.
type AdmitAsk struct {
	Pool  string `cbor:"1,keyasint"`
	Route string `cbor:"2,keyasint"`
	// Digest identifies the request and is the same for all of its attempts; Seed is different for each attempt.
	Digest RequestDigest `cbor:"3,keyasint"`
	Seed   uint64        `cbor:"4,keyasint"`
	Rank   int           `cbor:"5,keyasint,omitempty"`
	// OwnTokens is the number of prompt tokens that are not shared with other prompts.
	OwnTokens int `cbor:"6,keyasint"`
	// Slack is how long the request can wait and still be on time, after the time for its stages and its first event.
	Slack time.Duration `cbor:"7,keyasint"`
	// Group is the group of the pool's engines that the request is for; 0 for all.
	Group int `cbor:"8,keyasint,omitempty"`
	// Workspace is the customer that sent the request, and Stages the stages that it needs. Senders that do not take
	// part in the admission of whole pipelines leave both empty.
	Workspace string       `cbor:"9,keyasint,omitempty"`
	Stages    []AdmitStage `cbor:"10,keyasint,omitempty"`
}

// AdmitStage is a stage of a request that asks for admission, with what its sender knows of the stage's pool.
type AdmitStage struct {
	Pool string `cbor:"1,keyasint"`
	// Capacity and QueueDelay are those of the pool, with all of its shards, as of Age ago.
	Capacity   float64       `cbor:"2,keyasint"`
	QueueDelay time.Duration `cbor:"3,keyasint,omitempty"`
	// Cost is the target time that the stage takes.
	Cost time.Duration `cbor:"4,keyasint,omitempty"`
	Age  time.Duration `cbor:"5,keyasint,omitempty"`
	// IntendedQueue is how long work should wait in the pool while it is busy.
	IntendedQueue time.Duration `cbor:"6,keyasint,omitempty"`
}

// AdmitAnswer tells whether to start a request.
type AdmitAnswer struct {
	// Refused means that the engines, or the stages, cannot take the request in time; RetryAfter tells when its caller should retry.
	Refused    bool          `cbor:"1,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
	// QueueDelay is the time that the engines need for the prompts they already have, Engines the number of usable engines, TokenRate
	// the number of tokens started per second, and AdmittedShare the admitted share of the requests of the same rank.
	QueueDelay    time.Duration `cbor:"3,keyasint,omitempty"`
	Engines       int           `cbor:"4,keyasint,omitempty"`
	TokenRate     float64       `cbor:"5,keyasint,omitempty"`
	AdmittedShare float64       `cbor:"6,keyasint,omitempty"`
	// AdmissionRequired means that requests for the pool must be admitted before they start.
	AdmissionRequired bool `cbor:"7,keyasint,omitempty"`
	// LimitingPool is the pool that limits requests like this one most, and LimitedByStage tells that it is one of
	// stages. LimitingQueue is its queue. They are empty if only engines were considered.
	LimitingPool   string        `cbor:"8,keyasint,omitempty"`
	LimitedByStage bool          `cbor:"9,keyasint,omitempty"`
	LimitingQueue  time.Duration `cbor:"10,keyasint,omitempty"`
}

// PlaceAnswer names the target, and the lease under which the load of the request is counted. Target is empty if there is none.
type PlaceAnswer struct {
	Target string `cbor:"1,keyasint,omitempty"`
	Lease  uint64 `cbor:"2,keyasint,omitempty"`
	// Times holds what the placing daemon has learned about the pool.
	Times EngineTimes `cbor:"3,keyasint"`
	// AtCapacity means that every healthy target already has its maximum number of requests, so the request must not be sent.
	AtCapacity bool `cbor:"4,keyasint,omitempty"`
	// AdmissionRequired means that requests for the pool must be admitted before they start.
	AdmissionRequired bool `cbor:"5,keyasint,omitempty"`
	// Permitted means that the request has been counted against the rate limit that the target announced.
	Permitted bool `cbor:"6,keyasint,omitempty"`
	// LimitWait is set if the only targets left have used up the rate limits that they announced; it is the time until
	// they may take requests again.
	LimitWait time.Duration `cbor:"7,keyasint,omitempty"`
}

// PlaceNote reports the progress of a placed request.
type PlaceNote struct {
	Pool  string `cbor:"1,keyasint"`
	Lease uint64 `cbor:"2,keyasint"`
	// PromptRead means that the engine has read the prompt, and Late that the answer takes longer than expected. If
	// neither is set, the request has ended.
	PromptRead bool `cbor:"3,keyasint,omitempty"`
	Late       bool `cbor:"5,keyasint,omitempty"`
	// Verdict is what the end of the request showed about the health of the target.
	Verdict uint8 `cbor:"4,keyasint,omitempty"`
}

// Confirmed tells the daemons that read the store what the store reported about its tables just now, so that they need not ask.
type Confirmed struct {
	// Routing and Targets are the versions that the sender has.
	Routing uint64   `cbor:"1,keyasint,omitempty"`
	Targets Revision `cbor:"2,keyasint,omitzero"`
	// RoutingAge and TargetsAge are how long ago the store itself confirmed to the sender that it has all changes; 0 if
	// the store never did.
	RoutingAge time.Duration `cbor:"3,keyasint,omitempty"`
	TargetsAge time.Duration `cbor:"4,keyasint,omitempty"`
	// Evacuations is the revision of the newest evacuation that the sender knows of. Evacuations are stored in the
	// configuration table.
	Evacuations Revision `cbor:"5,keyasint,omitzero"`
	// SentAt is when the message was sent, by a clock of the sender that changes of the time of day do not affect; 0 if it does not say.
	SentAt time.Duration `cbor:"6,keyasint,omitempty"`
}

// ReadAsk asks a daemon of the sender's zone to read tables of the store, since nobody confirms the sender's copies of them.
type ReadAsk struct {
	Routing bool `cbor:"1,keyasint,omitempty"`
	Targets bool `cbor:"2,keyasint,omitempty"`
}

// DaemonRowsAsk requests the table of the daemons from a daemon that reads the store, as the store held it at most MaxAge ago.
type DaemonRowsAsk struct {
	MaxAge time.Duration `cbor:"1,keyasint"`
}

// DaemonRow is a daemon's row in the store, in the format in which daemons write it.
type DaemonRow struct {
	VM      VM       `cbor:"1,keyasint"`
	Version Revision `cbor:"2,keyasint"`
	Body    []byte   `cbor:"3,keyasint"`
}

// DaemonRowsAnswer holds the table of the daemons. Known is false if the sender could not read it.
type DaemonRowsAnswer struct {
	Known bool `cbor:"1,keyasint,omitempty"`
	// Age is how long before the answer the read of the table began.
	Age     time.Duration `cbor:"2,keyasint"`
	Version Revision      `cbor:"3,keyasint"`
	Rows    []DaemonRow   `cbor:"4,keyasint,omitempty"`
}

// TunnelClose tells the daemon that carries a connection to a target that nobody uses it any more. A daemon that does not carry
// it passes the message on, since the link to the carrier may be lost.
type TunnelClose struct {
	Carrier VM     `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
}
