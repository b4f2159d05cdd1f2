package proto

import (
	"net/netip"
	"time"
)

// Routing is one whole version of the configuration that a platform keeps for daemons that relay requests.
type Routing struct {
	Version    uint64
	Routes     []Route
	Pools      map[string]*RelayPool
	Limits     CallerLimits
	Workspaces []RelayWorkspace
}

// RouteKind tells how a route's requests may be treated.
type RouteKind uint8

// Kinds of routes.
const (
	// RouteOnce marks requests that run at most once.
	RouteOnce RouteKind = iota
	// RouteRepeatable marks requests that may run more than once.
	RouteRepeatable
	// RouteStream marks requests whose answer is a stream of events.
	RouteStream
)

// Route sends the requests of a host and path prefix to a pool.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a request may be held; 0 sets no bound.
	Timeout time.Duration
	// Goal is the time within which an answer has its full worth.
	LatencyGoal time.Duration
	// Gap is the longest pause between events of a stream that is still in time.
	MaxPause time.Duration
	// Priority ranks requests, 0 first.
	Priority int
	// Split holds the pools that take the route's requests, with their weights.
	Split []WeightedPool
	// MaxTargets is the most targets that may run one request.
	MaxTargets int
	Stages     []RouteStage
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued at another target.
	Resumable bool
	// Homes bind the requests to regions.
	AllowedRegions AllowedRegions
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteRepeatable || r.Kind == RouteStream && r.Resumable
}

// WeightedPool is one share of a route's requests.
type WeightedPool struct {
	Pool   string
	Weight float64
}

// RouteStage is work on pieces that is done before the request itself can run.
type RouteStage struct {
	Pool string
	// After lists the stages whose results this one needs.
	DependsOn []int
	// Bytes is about the size of one result.
	ResultBytes int
}

// RelayPool is a group of interchangeable targets.
type RelayPool struct {
	Name       string
	HealthPath string
	// MaxConns is the most connections that one target accepts from all callers.
	MaxConns int
	// Batch is set for pools that work on pieces.
	Batch *BatchSpec
	// Engine is set for pools of model engines.
	Engine *EngineSpec
	Cold   ColdSpec
}

// ColdSpec describes how the targets of a pool warm up.
type ColdSpec struct {
	// For is how long a target is cold after a start.
	WarmUpTime time.Duration
	// PerSecond is how many requests a cold target works through in a second; it falls over under many more. 0 sets no bound.
	RequestsPerSecond float64
}

// BatchSpec describes one target of a pool that works on pieces in batches.
type BatchSpec struct {
	// Slots is the number of calls at work at once.
	Slots int
	// Most is the largest number of pieces in a call.
	MaxPieces int
	// CallCost is the time that a call takes beside its pieces.
	CallCost time.Duration
	// PieceCost is about the time that a piece adds.
	PieceCost time.Duration
	// Room bounds the bytes of results that a target keeps.
	MaxResultBytes int64
	// Keep is how long a target keeps a result that nobody frees.
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

// CallerLimits bound what callers may send.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// RelayWorkspace is a customer with its keys.
type RelayWorkspace struct {
	Name string
	Keys []string
	// Priority goes before that of the route if it is set.
	Priority *int
	// Homes bind the customer's requests to regions, beside those of the route.
	AllowedRegions AllowedRegions
}

// RelayTarget is one run of a target as it listed itself with the platform.
type RelayTarget struct {
	ID      string
	Pool    string
	Address netip.AddrPort
	Zone    string
	// Region is that of the zone, empty if the settings do not name the zone.
	Region string
	Slots  int
	// Leaving targets get no new work.
	Leaving bool
	// ColdFor is how much longer the target is cold, as of when the entry was written.
	ColdRemaining time.Duration
	// Born is when this run of the target started, by its own word; zero if targets do not tell. A target may start again
	// under its id, and then knows nothing of before.
	StartedAt time.Time
}

// Evacuation says whether the targets of an availability zone are to get nothing more.
type Evacuation struct {
	Zone string `cbor:"1,keyasint"`
	// Version is the store's revision of the change that says so.
	Version Revision `cbor:"2,keyasint"`
	// Over says that the evacuation was taken back.
	Ended bool `cbor:"3,keyasint,omitempty"`
	// Held says that the store lost it in a restoration, as of Version, and that the operator may be about to ask for it again.
	LostInRestore bool `cbor:"4,keyasint,omitempty"`
}

// RoutingAsk asks a daemon for its configuration, list of targets and evacuations if they are newer than these versions.
type RoutingAsk struct {
	Routing     uint64   `cbor:"1,keyasint"`
	Targets     Revision `cbor:"2,keyasint"`
	Evacuations Revision `cbor:"3,keyasint,omitzero"`
}

// TargetDocument is a target's entry in the platform's own format.
type TargetDocument struct {
	ID      string   `cbor:"1,keyasint"`
	Body    []byte   `cbor:"2,keyasint"`
	Version Revision `cbor:"3,keyasint"`
	// Removed entries have no body; Lapsed ones of them may come back, since they went while the store was away.
	Removed bool `cbor:"4,keyasint,omitempty"`
	Lapsed  bool `cbor:"5,keyasint,omitempty"`
}

// InvalidEntry is a revision of a target's entry that names no target to use, although it reads as if it did: only daemons that knew
// the target before can tell.
type InvalidEntry struct {
	ID      string   `cbor:"1,keyasint"`
	Version Revision `cbor:"2,keyasint"`
	// Restored says that the entry came back with a copy of the store, after its target had left; if it stays, its target is
	// there after all.
	Restored bool `cbor:"3,keyasint,omitempty"`
}

// RoutingAnswer carries what is newer, in the platform's own format.
type RoutingAnswer struct {
	Routing       uint64           `cbor:"1,keyasint"`
	RoutingBody   []byte           `cbor:"2,keyasint,omitempty"`
	Targets       Revision         `cbor:"3,keyasint"`
	TargetEntries []TargetDocument `cbor:"4,keyasint,omitempty"`
	HasTargets    bool             `cbor:"5,keyasint,omitempty"`
	// Whole says that the entries are the whole list, and else what changed since the version that was asked with.
	Full bool `cbor:"6,keyasint,omitempty"`
	// Void holds all void entries that the sender knows of, whatever is newer.
	InvalidEntries []InvalidEntry `cbor:"7,keyasint,omitempty"`
	// Evacuations holds what the sender knows of each zone that ever was evacuated, if the asker has older news.
	Evacuations []Evacuation `cbor:"8,keyasint,omitempty"`
	// Notices holds what listed targets have said of themselves, as far as the sender knows.
	Notices []TargetNotice `cbor:"9,keyasint,omitempty"`
}

// PiecesAsk asks the daemon that batches a pool's calls for all pieces of one stage of a request.
type PiecesAsk struct {
	Pool      string   `cbor:"1,keyasint"`
	RequestID string   `cbor:"2,keyasint"`
	Stage     int      `cbor:"3,keyasint"`
	Pieces    int      `cbor:"4,keyasint"`
	Key       string   `cbor:"5,keyasint,omitempty"`
	Inputs    []string `cbor:"6,keyasint,omitempty"`
	Zone      string   `cbor:"7,keyasint,omitempty"`
	// Rank is the urgency of the request, 0 first.
	Rank int `cbor:"8,keyasint"`
	// Due is how long from now the stage may end for the answer to be in time.
	DueIn time.Duration `cbor:"9,keyasint"`
	// Left is how long from now the result is of any use.
	TimeLeft time.Duration `cbor:"10,keyasint"`
	// Bytes is about the size of one result.
	ResultBytes int `cbor:"11,keyasint"`
	// First says that nothing was done for the request yet, so that refusing it wastes nothing.
	NoWorkDone bool `cbor:"12,keyasint,omitempty"`
	// Trial tells apart the times that one request asks for the same stage.
	Attempt int `cbor:"13,keyasint,omitempty"`
	// Begun says that the caller has a part of the answer, so that giving the stage up breaks it off.
	AnswerStarted bool `cbor:"14,keyasint,omitempty"`
	// Goal is the time within which the caller's answer has its full worth, counted from its request.
	LatencyGoal time.Duration `cbor:"15,keyasint,omitempty"`
	// InputPool names the pool whose results the inputs are, if nothing else of the request reads them: they are given up
	// as soon as they were fetched.
	InputPool string `cbor:"16,keyasint,omitempty"`
	// Shard is that part of the pool's targets that is to do the work, and InputShard that of InputPool that made the
	// inputs.
	Shard      int `cbor:"17,keyasint,omitempty"`
	InputShard int `cbor:"18,keyasint,omitempty"`
	// Digest is that of the request.
	Digest         RequestDigest  `cbor:"19,keyasint,omitempty"`
	AllowedRegions AllowedRegions `cbor:"20,keyasint,omitzero"`
}

// PieceOutcome tells how a stage's pieces ended.
type PieceOutcome uint8

// Fates of pieces.
const (
	// PiecesDone means that all results are there.
	PiecesDone PieceOutcome = iota
	// PiecesRefused means that the pool is too busy for the result to come in time.
	PiecesRefused
	// PiecesLost means that an input is gone.
	PiecesLost
	// PiecesFailed means that no target could do the work.
	PiecesFailed
	// PiecesLate means that the time was over.
	PiecesLate
	// PiecesNoRoom means that the target had no room for a result.
	PiecesNoRoom
	// PiecesElsewhere means that the daemon cannot batch for the pool now, and another should be asked.
	PiecesElsewhere
)

// String returns the fate as a word.
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
	// Queue is how long an equal job that came now would wait for its turn.
	QueueDelay time.Duration `cbor:"6,keyasint,omitempty"`
	// Queued is how long the pieces waited for the call that made the last of them, and Made how long that call took.
	QueuedFor time.Duration `cbor:"7,keyasint,omitempty"`
	CallTime  time.Duration `cbor:"8,keyasint,omitempty"`
	// InputsFreed says that the inputs were given up, as the ask allowed.
	InputsFreed bool `cbor:"9,keyasint,omitempty"`
	// Shard is the part of the pool that was asked; the asker sets it.
	Shard int `cbor:"-"`
}

// PiecesDrop tells the daemon that batches a pool's calls that results are not needed any more, or a stage not at all.
type PiecesDrop struct {
	Pool      string   `cbor:"1,keyasint"`
	Handles   []string `cbor:"2,keyasint,omitempty"`
	RequestID string   `cbor:"3,keyasint,omitempty"`
	Stage     int      `cbor:"4,keyasint,omitempty"`
	// Shard is the part of the pool's targets that the results or the stage are of.
	Shard int `cbor:"5,keyasint,omitempty"`
}

// PromptPart is one part of a prompt that other prompts may share.
type PromptPart struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// PlaceAsk asks the daemon that places the requests of a pool of engines for a target.
type PlaceAsk struct {
	Pool        string       `cbor:"1,keyasint"`
	Route       string       `cbor:"2,keyasint"`
	SharedParts []PromptPart `cbor:"3,keyasint,omitempty"`
	// Own is the number of tokens that no other prompt shares.
	OwnTokens int `cbor:"4,keyasint"`
	// Zone is where the request's inputs lie, or the asker's own, and Inputs how many bytes.
	Zone       string `cbor:"5,keyasint"`
	InputBytes int    `cbor:"6,keyasint,omitempty"`
	// Without holds the targets that the request must not go to.
	Excluded []string `cbor:"7,keyasint,omitempty"`
	// Gap is the longest pause between the stream's events that is still in time; 0 if there is no bound.
	MaxPause time.Duration `cbor:"8,keyasint,omitempty"`
	// Cold holds the cold targets that the asker, and no other daemon, may send a request to now.
	Cold           []string       `cbor:"9,keyasint,omitempty"`
	AllowedRegions AllowedRegions `cbor:"10,keyasint,omitzero"`
}

// EngineTimes is what was learnt of the engines of a pool: what each request, each prompt token and each request that
// runs beside add to the time to a first event.
type EngineTimes struct {
	PerRequest           time.Duration `cbor:"1,keyasint"`
	PerPromptToken       time.Duration `cbor:"2,keyasint"`
	PerConcurrentRequest time.Duration `cbor:"3,keyasint"`
}

// AdmitAsk asks the daemon that places the requests of a pool of engines whether to begin one.
type AdmitAsk struct {
	Pool  string `cbor:"1,keyasint"`
	Route string `cbor:"2,keyasint"`
	// Digest is that of the request, the same for each of its tries, and Seed differs from try to try.
	Digest RequestDigest `cbor:"3,keyasint"`
	Seed   uint64        `cbor:"4,keyasint"`
	Rank   int           `cbor:"5,keyasint,omitempty"`
	// Own is the number of tokens of its prompt that no other shares.
	OwnTokens int `cbor:"6,keyasint"`
	// Slack is how much longer than its stages and its first event take it may wait to be in time.
	Slack time.Duration `cbor:"7,keyasint"`
}

// AdmitAnswer says whether to begin a request.
type AdmitAnswer struct {
	// Refused says that the engines cannot take it in time, and Wait when its caller should come back.
	Refused    bool          `cbor:"1,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
	// Queue is how long the engines take to read the prompts that they have, Engines the number of usable ones, Rate how many tokens
	// a second are begun, and Share the part of the requests of the same rank that is.
	QueueDelay    time.Duration `cbor:"3,keyasint,omitempty"`
	Engines       int           `cbor:"4,keyasint,omitempty"`
	TokenRate     float64       `cbor:"5,keyasint,omitempty"`
	AdmittedShare float64       `cbor:"6,keyasint,omitempty"`
	// Busy says that requests for the pool are to be admitted before they are begun.
	AdmissionRequired bool `cbor:"7,keyasint,omitempty"`
}

// PlaceAnswer names the target, and the lease under which its load is counted; Target is empty if there is none.
type PlaceAnswer struct {
	Target string `cbor:"1,keyasint,omitempty"`
	Lease  uint64 `cbor:"2,keyasint,omitempty"`
	// Times are those that the placing daemon has learnt of the pool.
	Times EngineTimes `cbor:"3,keyasint"`
	// Crowded says that each target in good health has as many requests as it may have at a time, so that none is to be sent.
	AtCapacity bool `cbor:"4,keyasint,omitempty"`
	// Busy says that requests for the pool are to be admitted before they are begun.
	AdmissionRequired bool `cbor:"5,keyasint,omitempty"`
	// Permitted says that the request is counted within the limit that the target names.
	Permitted bool `cbor:"6,keyasint,omitempty"`
	// Limited says that targets are left that may take requests, and that what these allow is used up for that long.
	LimitWait time.Duration `cbor:"7,keyasint,omitempty"`
}

// PlaceNote tells how far a placed request has come.
type PlaceNote struct {
	Pool  string `cbor:"1,keyasint"`
	Lease uint64 `cbor:"2,keyasint"`
	// Began says that the prompt is read, Late that the answer takes longer than it should, and neither that the request has ended.
	PromptRead bool `cbor:"3,keyasint,omitempty"`
	Late       bool `cbor:"5,keyasint,omitempty"`
	// Verdict is what the end showed of the target's health.
	Verdict uint8 `cbor:"4,keyasint,omitempty"`
}

// Confirmed tells daemons that read the store what the store said of its tables just now, so that they need not ask.
type Confirmed struct {
	// Routing and Targets are the versions that the sender has.
	Routing uint64   `cbor:"1,keyasint,omitempty"`
	Targets Revision `cbor:"2,keyasint,omitzero"`
	// RoutingAge and TargetsAge are how long ago the store itself told the sender that it has all changes of each; 0 if it
	// never did.
	RoutingAge time.Duration `cbor:"3,keyasint,omitempty"`
	TargetsAge time.Duration `cbor:"4,keyasint,omitempty"`
	// Evacuations is the revision of the newest one that the sender knows; they are in the table of the configuration.
	Evacuations Revision `cbor:"5,keyasint,omitzero"`
}
