package core

import (
	"time"

	"emberlead/proto"
)

// Event is one input of an Engine.
type Event interface{ event() }

// Arrival is a caller's request that passed authentication.
type Arrival struct {
	ID         proto.RequestID
	Workspace  string
	Service    string
	Key        proto.Key
	Repeatable bool
	Timeout    time.Duration
	Prefix     string
	Input      []byte
	Stream     bool
	// KeyLost says that too few replicas of the key's group are live for the key to be claimed now.
	QuorumLost bool
}

// AttemptStatus tells what is certain about an attempt that ended.
type AttemptStatus int

// Fates of an attempt.
const (
	// FateDone means that the target answered.
	StatusDone AttemptStatus = iota
	// FateNotStarted means that nothing was written, or that the target said it never started.
	StatusNotStarted
	// FateFailed means that the target ran the attempt and said that it failed.
	StatusFailed
	// FateUnknown means that the connection broke or timed out after the first byte was written.
	StatusUnknown
)

// AttemptEnded is the last event of an attempt.
type AttemptEnded struct {
	Attempt  proto.AttemptID
	Status   AttemptStatus
	Output   []byte
	Tokens   int
	Busy     time.Duration
	CacheHit bool
	Reason   string
}

// AttemptChunk is one part of a streamed answer.
type AttemptChunk struct {
	Attempt proto.AttemptID
	Offset  int
	Text    string
	Tokens  int
}

// CallerLeft says that the caller closed its connection.
type CallerLeft struct {
	Request proto.RequestID
	Slow    bool
}

// ClaimResult is the result of claiming an idempotency key.
type ClaimResult int

// Verdicts on a claim.
const (
	// VerdictGranted means that this daemon alone may run the request.
	ClaimGranted ClaimResult = iota
	// VerdictTaken means that the key was claimed before and may have run.
	ClaimTaken
	// VerdictDone means that the key's request ran and its answer is known.
	ClaimDone
	// VerdictMismatch means that the key was used for another request.
	ClaimMismatch
	// VerdictTooOld means that the key is older than what is remembered.
	ClaimTooOld
	// VerdictTooNew means that the key's time lies in the future.
	ClaimTooNew
	// VerdictUnreachable means that too few replicas could be asked.
	ClaimNoQuorum
)

// ClaimAnswered is the answer to a Claim action.
type ClaimAnswered struct {
	Request proto.RequestID
	Result  ClaimResult
	Answer  []byte
}

// LoadReported is a target's late word on its own load.
type LoadReported struct {
	Pool string
	Load proto.Load
}

// CacheReported is a target's late and gappy word on its prefix cache.
type CacheReported struct {
	Pool  string
	Event proto.CacheEvent
}

// UsageReported is what another daemon spent for a workspace since its last report.
type UsageReported struct {
	Pool      string
	Workspace string
	Spent     time.Duration
}

// StopCheck lets the engine look at stops of VMs, listed and planned; it comes several times a second.
type StopCheck struct {
	// Lead is how long before its planned stop a VM gets no new work, and its work is moved.
	Lead time.Duration
}

// Exported is the answer to an Export action; the handle is empty if the target could not export.
type Exported struct {
	Attempt proto.AttemptID
	Handle  string
}

// Tick lets the engine act on what is due; it comes at least every few milliseconds while requests are open.
type Tick struct{}

func (Arrival) event()       {}
func (AttemptEnded) event()  {}
func (AttemptChunk) event()  {}
func (CallerLeft) event()    {}
func (ClaimAnswered) event() {}
func (LoadReported) event()  {}
func (CacheReported) event() {}
func (UsageReported) event() {}
func (StopCheck) event()     {}
func (Exported) event()      {}
func (Tick) event()          {}

// Action is one output of an Engine.
type Action interface{ action() }

// Start asks the driver to run an attempt at a target.
type Start struct {
	ID        proto.AttemptID
	Pool      string
	Target    proto.Target
	Workspace string
	Service   string
	Stage     proto.Stage
	Input     []byte
	Prefix    string
	Priority  int
	Deadline  time.Time
	Stream    bool
	Offset    int
	Delivered string
	// CacheHandle names the KV cache to import.
	CacheHandle string
	// MayRepeat is false for a stage that may run only once.
	MayRepeat bool
}

// Export asks the driver to export the KV cache of an attempt whose target is about to stop.
type Export struct {
	Attempt proto.AttemptID
	Target  proto.Target
}

// Cancel asks the driver to cancel an attempt at its target.
type Cancel struct{ Attempt proto.AttemptID }

// Claim asks the driver to claim an idempotency key before a stage that may run only once.
type Claim struct {
	Request proto.RequestID
	Key     proto.Key
}

// Settle tells the replicas of a key how its request ended.
type Settle struct {
	Request proto.RequestID
	Key     proto.Key
	// Released means that the stage that may run only once was certainly not run.
	Released bool
	Answer   []byte
}

// Chunk passes one part of a streamed answer to the caller.
type Chunk struct {
	Request proto.RequestID
	Offset  int
	Text    string
	Tokens  int
	// Generation is the configuration that the request runs under.
	Generation proto.Generation
}

// Finish ends a request with its whole answer, or with a failure.
type Finish struct {
	Request proto.RequestID
	Output  []byte
	Failure *proto.Failure
	// Generation is the configuration that the request ran under.
	Generation proto.Generation
}

func (Start) action()  {}
func (Export) action() {}
func (Cancel) action() {}
func (Claim) action()  {}
func (Settle) action() {}
func (Chunk) action()  {}
func (Finish) action() {}
