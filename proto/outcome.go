package proto

import (
	"net/http"
	"time"
)

// Outcome tells a caller what is known about a request that was not answered.
type Outcome string

// Request outcomes.
const (
	// OutcomeNotRun means that no part of the request was sent to a target.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeMayHaveRun means that part of the request may have run.
	OutcomeMayHaveRun Outcome = "mayHaveRun"
	// OutcomeRan means that the request ran, whether or not its answer is still known.
	OutcomeRan Outcome = "ran"
)

// FailureKind is the reason why a request was not answered.
type FailureKind string

// Failure kinds, as they appear in the kind member of a problem document.
const (
	FailureOverloaded   FailureKind = "overloaded"
	FailureDeadline     FailureKind = "deadlineExceeded"
	FailureTooLate      FailureKind = "deadlineCannotBeMet"
	FailureTarget       FailureKind = "targetFailed"
	FailureUnknown      FailureKind = "resultUnknown"
	FailureKeyTaken     FailureKind = "keyAlreadyUsed"
	FailureKeyMismatch  FailureKind = "keyUsedForAnotherRequest"
	FailureKeyTooOld    FailureKind = "keyTooOld"
	FailureKeyInvalid   FailureKind = "keyInvalid"
	FailureNoQuorum     FailureKind = "keyStoreUnreachable"
	FailureStopping     FailureKind = "stopping"
	FailureIsolated     FailureKind = "isolated"
	FailureNotFound     FailureKind = "notFound"
	FailureBadRequest   FailureKind = "badRequest"
	FailureUnauthorized FailureKind = "unauthorized"
	FailureTooLarge     FailureKind = "tooLarge"
	FailureCallerLeft   FailureKind = "callerLeft"
	FailureSlowCaller   FailureKind = "callerTooSlow"
)

// Failure is the internal form of a problem document.
type Failure struct {
	Kind       FailureKind
	Outcome    Outcome
	Detail     string
	RetryAfter time.Duration
}

// Status returns the HTTP status code of the failure. 429 and 503 are used only with OutcomeNotRun.
func (f *Failure) Status() int {
	switch f.Kind {
	case FailureBadRequest, FailureKeyInvalid:
		return http.StatusBadRequest
	case FailureUnauthorized:
		return http.StatusUnauthorized
	case FailureNotFound:
		return http.StatusNotFound
	case FailureTooLarge:
		return http.StatusRequestEntityTooLarge
	case FailureKeyMismatch:
		return http.StatusUnprocessableEntity
	case FailureKeyTaken, FailureKeyTooOld:
		return http.StatusConflict
	case FailureSlowCaller, FailureCallerLeft:
		return http.StatusRequestTimeout
	}
	return f.serverStatus()
}

func (f *Failure) serverStatus() int {
	if f.Outcome != OutcomeNotRun {
		if f.Kind == FailureTarget {
			return http.StatusBadGateway
		}
		return http.StatusGatewayTimeout
	}
	if f.Kind == FailureOverloaded || f.Kind == FailureTooLate {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// Problem is a problem document as defined in RFC 9457.
type Problem struct {
	Type      string      `json:"type"`
	Title     string      `json:"title"`
	Status    int         `json:"status"`
	Detail    string      `json:"detail,omitempty"`
	Kind      FailureKind `json:"kind"`
	Outcome   Outcome     `json:"outcome"`
	RequestID string      `json:"requestId,omitempty"`
}

// NewProblem returns the problem document for a failure.
func NewProblem(f *Failure, requestID string) Problem {
	return Problem{
		Type:      "urn:emberlead:problem:" + string(f.Kind),
		Title:     http.StatusText(f.Status()),
		Status:    f.Status(),
		Detail:    f.Detail,
		Kind:      f.Kind,
		Outcome:   f.Outcome,
		RequestID: requestID,
	}
}
