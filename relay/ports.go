package relay

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"emberlead/proto"
)

// Request is a caller's request, parsed from its headers.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path is the path without the query, and URI includes it. Both are as received.
	Path, URI string
	// Header holds the headers that are forwarded unchanged.
	Header http.Header
	Body   []byte
	// CallerTimeout is how long the caller waits for the response; 0 if unstated.
	CallerTimeout time.Duration
	APIKey        string
	// PromptParts are the parts of the prompt in order. The last is private to the request or its session.
	PromptParts []proto.PromptPart
	// PromptTokens is the size of the prompt, MaxTokens the maximum size of the response.
	PromptTokens, MaxTokens int
	// After is the id of the last stream event that the caller has received; 0 for a new stream.
	After int
	// Resumes is the id of the caller's request that brought the first event of the stream; empty for a new stream.
	Resumes string
	// PieceKey identifies the input of the stages. Pieces is the number of pieces of each stage of the route, 0 to skip it.
	PieceKey string
	Pieces   []int
}

// ForwardInfo is what a request to a target states beside the caller's request.
type ForwardInfo struct {
	Target    proto.RelayTarget
	TimeLeft  time.Duration
	Workspace string
	Inputs    []string
	// After is the id of the last event that was forwarded; 0 for a stream from its start.
	After    int
	Priority int
}

// ResponseInfo is what the status and headers of a response state.
type ResponseInfo struct {
	// RequestID is the id of the request that the response belongs to.
	RequestID string
	// Stamped is set if the response comes from an execution of a request.
	Stamped bool
	// NotRun is set if the target did not run the request.
	NotRun bool
	// Misdirected is set if another target has the address now.
	Misdirected bool
	// LostInput is set if an input of the request no longer exists.
	LostInput bool
	// ContentEncoded is set if the body is encoded, so not the one that was requested.
	ContentEncoded bool
	Load           Load
}

// Notice is what a target reports about itself in response headers.
type Notice struct {
	// Leaving is set if the target is about to stop.
	Leaving bool
	// Limit is the rate, in requests per second, that the target accepts from all daemons together; Limited is set if it states one.
	Limit    float64
	HasLimit bool
	// Brittle is set if the target fails when it has to reject more than MaxRejections requests in a second for lack of capacity.
	Brittle       bool
	MaxRejections float64
	// Backoff is how long a target that rejected a request wants none from this daemon; 0 if unstated.
	Backoff time.Duration
	// Unreadable holds the headers that could not be parsed, with their names. They are ignored, like missing ones.
	Unreadable []string
}

// Dialect converts between the platform's HTTP headers and bodies and the types of this package.
type Dialect interface {
	// ParseRequest parses the headers of a caller's request. It fails with KindInvalid.
	ParseRequest(r *http.Request) (*Request, error)
	// Header returns the headers of a request to a target.
	Header(r *Request, f *ForwardInfo) http.Header
	// ParseResponse parses the headers of a target's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// ParseNotice parses what a target reports about itself in any response.
	ParseNotice(status int, h http.Header) Notice
	// SetRetryAfter sets the headers that tell the caller when to retry.
	SetRetryAfter(h http.Header, wait time.Duration)
	// BuildPiecesRequest returns the request for a batch of pieces.
	BuildPiecesRequest(c *Call, now time.Time) (TargetRequest, error)
	// ParsePiecesResponse parses the response to a batch of n pieces. It fails with KindInvalid.
	ParsePiecesResponse(body []byte, n int) ([]ItemResult, error)
	// BuildFreeRequest returns the request that frees results at the target that holds them.
	BuildFreeRequest(handles []string) (TargetRequest, error)
	// HandleAddress returns the address of the target that holds a result.
	HandleAddress(handle string) (netip.AddrPort, error)
}

// TargetRequest is an HTTP request to a target.
type TargetRequest struct {
	// Target is the target run that the request is meant for; zero if only the address is known.
	Target proto.RelayTarget
	// ID is that of the caller's request; empty for other requests.
	ID                string
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// NonIdempotent marks a request that must run at most once. It is only sent on a connection that is certainly usable.
	NonIdempotent bool
	// Matches reports whether the headers of a response belong to this request.
	Matches func(h http.Header) bool
	// Observer learns how far the request gets. It may be nil.
	Observer SendObserver
}

// SendObserver learns how far a request to a target gets. Its methods are called by any goroutine.
type SendObserver interface {
	// BeforeWrite is called once there is a connection, which the given daemon carries unless it is empty, before the first byte is
	// written: from then on the target may run the request. Nothing is written if it fails.
	BeforeWrite(carrier proto.VM) error
	// Aborted is called when the connection was closed before the response was complete.
	Aborted()
}

// TargetResponse is a target's response. The caller must close its body.
type TargetResponse struct {
	Status int
	Header http.Header
	Body   Body
}

// Body is the body of a response.
type Body interface {
	// Read returns io.EOF only at the end of a complete response, and another error if it is truncated.
	Read(p []byte) (int, error)
	// Close returns the connection to the pool if the body was read to its end, and otherwise closes it.
	Close() error
}

// Sender sends requests to targets.
type Sender interface {
	// Send returns when the headers of the response have arrived. Its error is a *SendError.
	Send(ctx context.Context, to netip.AddrPort, out *TargetRequest) (*TargetResponse, error)
}

// SendError reports how far a request got that received no response.
type SendError struct {
	// Written is set if bytes of the request may have reached the target, which may therefore run it.
	Written bool
	Err     error
}

// Error returns the cause, and whether the request may have been sent.
func (e *SendError) Error() string {
	if e.Written {
		return "no answer to a request that was sent: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// LinkChecker tells failures of targets from those of this daemon's links to them.
type LinkChecker interface {
	// CheckTarget reports whether a failure or delay of a target since the given time is its own.
	CheckTarget(ctx context.Context, to netip.AddrPort, since time.Time) bool
	// NoneReached reports whether no target is reached at present, and when a request may try again.
	NoneReached() (wait time.Duration, none bool)
}

// LinkError wraps an error that may be due to the link between this daemon and a target, and not to the target.
type LinkError struct{ Err error }

// Error returns the cause.
func (e *LinkError) Error() string { return "the link may have failed: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *LinkError) Unwrap() error { return e.Err }

// mayBeLink reports whether an error may be due to this daemon's link to the target alone.
func mayBeLink(err error) bool {
	var link *LinkError
	return errors.As(err, &link)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Share is this daemon's share of a quota that all daemons have in common.
type Share struct {
	// Fraction is from 0 to 1. Those of all daemons add up to at most 1 at any time.
	Fraction float64 `json:"part"`
	// Counted is the number of daemons that share the quota, and Live the number heard from, both with this one.
	VMCount int `json:"counted"`
	Live    int `json:"live"`
	// Reason is why the fraction is 0, if it is.
	Reason string `json:"reason,omitempty"`
}

// Peers communicates with the other daemons.
type Peers interface {
	// Owner returns the daemon responsible for a task, ignoring those in skip, which did not respond.
	Owner(task string, skip map[proto.VM]bool) proto.VM
	// OwnerInZone is Owner among the daemons of an availability zone, or among all if none of them can take the task.
	OwnerInZone(zone proto.Zone, task string, skip map[proto.VM]bool) proto.VM
	// Silent reports whether a daemon has been silent for longer than a live daemon ever is.
	Silent(vm proto.VM) bool
	// Share returns this daemon's share of a quota that all daemons have in common.
	Share() Share
	// IsSoleOwner reports whether this daemon may now perform a task that only one may perform at a time, even if the
	// daemons cannot reach each other. After another daemon performed it, at least the settling time passes first.
	OwnsExclusively(task string, settle time.Duration) bool
	Send(to proto.VM, m proto.Message)
	Call(ctx context.Context, to proto.VM, m proto.Message) (proto.Message, error)
}
