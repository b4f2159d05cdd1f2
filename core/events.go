package core

import (
	"time"

	"emberlead/proto"
)

// Event is an input of an Engine.
type Event interface{ event() }

// Arrival is an authenticated request from a caller.
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
	// QuorumLost means that too few replicas of the key's group are alive for the key to be claimed now.
	QuorumLost bool
}

// AttemptStatus tells what is known about an attempt that ended.
type AttemptStatus int

// Attempt statuses.
const (
	// StatusDone means that the target answered.
	StatusDone AttemptStatus = iota
	// StatusNotStarted means that nothing was sent, or that the target reported that it did not start the attempt.
	StatusNotStarted
	// StatusFailed means that the target ran the attempt and reported a failure.
	StatusFailed
	// StatusUnknown means that the connection broke or timed out after the first byte was sent.
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

// CallerLeft reports that the caller closed its connection.
type CallerLeft struct {
	Request proto.RequestID
	Slow    bool
}

// ClaimResult is the result of claiming an idempotency key.
type ClaimResult int

// Claim results.
const (
	// ClaimGranted means that only this daemon may run the request.
	ClaimGranted ClaimResult = iota
	// ClaimTaken means that the key was claimed before and its request may have run.
	ClaimTaken
	// ClaimDone means that the key's request has run and its answer is known.
	ClaimDone
	// ClaimMismatch means that the key was used for a different request.
	ClaimMismatch
	// ClaimTooOld means that the key is older than the retention of claims.
	ClaimTooOld
	// ClaimTooNew means that the key's time is in the future.
	ClaimTooNew
	// ClaimNoQuorum means that too few replicas could be reached.
	ClaimNoQuorum
)

// ClaimAnswered is the result of a Claim action.
type ClaimAnswered struct {
	Request proto.RequestID
	Result  ClaimResult
	Answer  []byte
}

// LoadReported is a target's report of its own load, which may arrive late.
type LoadReported struct {
	Pool string
	Load proto.Load
}

// CacheReported is a target's report of a change in its prefix cache. Reports may arrive late or get lost.
type CacheReported struct {
	Pool  string
	Event proto.CacheEvent
}

// UsageReported is the time that another daemon used for a workspace since its previous report.
type UsageReported struct {
	Pool      string
	Workspace string
	Spent     time.Duration
}

// StopCheck makes the engine check for VMs that are listed as leaving or have a planned stop. It is sent several times per second.
type StopCheck struct {
	// Lead is how long before its planned stop a VM gets no new work and its work is moved to other targets.
	Lead time.Duration
}

// Exported is the result of an Export action. Handle is empty if the target could not export.
type Exported struct {
	Attempt proto.AttemptID
	Handle  string
}

// Tick makes the engine process what is due. It is sent at least every few milliseconds while requests are open.
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

// Action is an output of an Engine.
type Action interface{ action() }

// Start tells the driver to run an attempt at a target.
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
	// CacheHandle identifies the KV cache to import.
	CacheHandle string
	// MayRepeat is false if the stage may run only once.
	MayRepeat bool
}

// Export tells the driver to export the KV cache of an attempt whose target is about to stop.
type Export struct {
	Attempt proto.AttemptID
	Target  proto.Target
}

// Cancel tells the driver to cancel an attempt at its target.
type Cancel struct{ Attempt proto.AttemptID }

// Claim tells the driver to claim an idempotency key. It precedes stages that may run only once.
type Claim struct {
	Request proto.RequestID
	Key     proto.Key
}

// Settle tells the driver to report the end of a request to the replicas of its key.
type Settle struct {
	Request proto.RequestID
	Key     proto.Key
	// Released means that no stage that may run only once was started.
	Released bool
	Answer   []byte
}

// Chunk passes one part of a streamed answer to the caller.
type Chunk struct {
	Request proto.RequestID
	Offset  int
	Text    string
	Tokens  int
	// Generation is the configuration that the request runs with.
	Generation proto.Generation
}

// Finish ends a request with its complete answer or with a failure.
type Finish struct {
	Request proto.RequestID
	Output  []byte
	Failure *proto.Failure
	// Generation is the configuration that the request ran with.
	Generation proto.Generation
}

func (Start) action()  {}
func (Export) action() {}
func (Cancel) action() {}
func (Claim) action()  {}
func (Settle) action() {}
func (Chunk) action()  {}
func (Finish) action() {}
