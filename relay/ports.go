package relay

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"emberlead/proto"
)

// Request is a caller's request, read from the way the platform spells it.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path is the path without the query, and URI both as they came.
	Path, URI string
	// Header holds what is passed on unchanged.
	Header http.Header
	Body   []byte
	// Wait is how long the caller waits for the answer; 0 if it did not say.
	CallerTimeout time.Duration
	APIKey        string
	// Parts are the parts of the prompt in order; the last belongs to the request alone or to its session.
	PromptParts []proto.PromptPart
	// PromptTokens and MostTokens are the sizes of the prompt and of the answer at most.
	PromptTokens, MaxTokens int
	// After is the last event of the stream that the caller has; 0 if it begins anew.
	After int
	// PieceKey and Pieces say what the stages work on: a count for each stage of the route, 0 for none.
	PieceKey string
	Pieces   []int
}

// ForwardInfo is what a request to a target says beside what the caller sent.
type ForwardInfo struct {
	Target    proto.RelayTarget
	TimeLeft  time.Duration
	Workspace string
	Inputs    []string
	// After is the last event that was passed on; 0 for a stream from its start.
	After    int
	Priority int
}

// ResponseInfo is what the head of a target's answer says.
type ResponseInfo struct {
	// Request is the id of the request that the answer is for.
	RequestID string
	// Stamped answers come from the run of a request.
	Stamped bool
	// NotRun says that the target did not run the request.
	NotRun bool
	// OtherTarget says that another target has the address.
	Misdirected bool
	// LostInput says that an input of the request is gone.
	LostInput bool
	// Encoded answers do not hold the body that was asked for.
	ContentEncoded bool
	Load           Load
}

// Notice is what a target says of itself in the head of an answer.
type Notice struct {
	// Leaving says that the target is about to end.
	Leaving bool
	// Limit is how many requests a second the target takes from all daemons together; Limited says that it names one.
	Limit   float64
	Limited bool
	// Rest is for how long the target, which turned a request away, wants nothing from this daemon; 0 if it does not say.
	Backoff time.Duration
	// Unreadable holds the values that could not be read, with their names. Nothing follows from them, nor from what else is missing.
	Unreadable []string
}

// Dialect spells requests, answers and pieces the way the platform does.
type Dialect interface {
	// ReadRequest reads the head of a caller's request; it fails with KindInvalid.
	ParseRequest(r *http.Request) (*Request, error)
	// Header returns the header of a request to a target.
	Header(r *Request, f *ForwardInfo) http.Header
	// ReadReply reads the head of a target's answer.
	ParseResponse(status int, h http.Header) ResponseInfo
	// ReadNotice reads what a target says of itself in the head of an answer of any kind.
	ParseNotice(status int, h http.Header) Notice
	// Refuse writes the header of an answer that tells when to come back.
	SetRetryAfter(h http.Header, wait time.Duration)
	// PiecesCall returns the request for a batch of pieces.
	BuildPiecesRequest(c *Call, now time.Time) (TargetRequest, error)
	// PiecesResult reads the answer to a batch of n pieces; it fails with KindInvalid.
	ParsePiecesResponse(body []byte, n int) ([]ItemResult, error)
	// FreeCall returns the request that frees results at their maker.
	BuildFreeRequest(handles []string) (TargetRequest, error)
	// Maker returns the address of the target that holds a result.
	HandleAddress(handle string) (netip.AddrPort, error)
}

// TargetRequest is a request to a target.
type TargetRequest struct {
	// Target is the run that the request is for; zero if only its address is known.
	Target            proto.RelayTarget
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// Once marks requests that may run only once, for which a connection must be beyond doubt.
	NonIdempotent bool
	// Mine tells whether an answer's head is that of this request.
	Matches func(h http.Header) bool
}

// TargetResponse is a target's answer; its body must be closed.
type TargetResponse struct {
	Status int
	Header http.Header
	Body   Body
}

// Body is the body of an answer.
type Body interface {
	// Read fails with anything but io.EOF if the answer is cut.
	Read(p []byte) (int, error)
	// Close gives the connection back if the body was read to its end, and closes it otherwise.
	Close() error
}

// Sender sends requests to targets.
type Sender interface {
	// Send returns the head of the answer. Its error is a *SendError.
	Send(ctx context.Context, to netip.AddrPort, out *TargetRequest) (*TargetResponse, error)
}

// SendError says how far a request came that got no answer.
type SendError struct {
	// Written says that bytes of the request may have reached the target, so that it may run.
	Written bool
	Err     error
}

// Error returns the cause, and whether the request may run.
func (e *SendError) Error() string {
	if e.Written {
		return "no answer to a request that was sent: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Share is a daemon's part of what all daemons together are allowed.
type Share struct {
	// Part is from 0 to 1; the parts of all daemons come to 1 at the most at any time.
	Fraction float64 `json:"part"`
	// Counted is the number of daemons that it is divided between, and Live that of the daemons that are heard of, this one included.
	Counted int `json:"counted"`
	Live    int `json:"live"`
	// Reason says why the part is 0, if it is.
	Reason string `json:"reason,omitempty"`
}

// Peers reaches the other daemons.
type Peers interface {
	// Owner returns the daemon that does a task for all, leaving out those that were found silent.
	Owner(task string, skip map[proto.VM]bool) proto.VM
	// Silent tells whether a daemon has not been heard for longer than a live one is silent.
	Silent(vm proto.VM) bool
	// Share returns this daemon's part of what all daemons together are allowed.
	Share() Share
	// Sole tells whether this daemon may do now what only one of all may do at a time, whether they reach each other or not; after
	// another one did, at least the settling time passes.
	IsSoleOwner(task string, settle time.Duration) bool
	Send(to proto.VM, m proto.Message)
	Call(ctx context.Context, to proto.VM, m proto.Message) (proto.Message, error)
}
