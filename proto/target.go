package proto

import (
	"encoding/json"
	"time"
)

// Paths of the protocol that targets serve.
const (
	PathRun    = "/v1/run"
	PathCancel = "/v1/cancel"
	PathLoad   = "/v1/load"
	PathOrder  = "/v1/orders"
	PathExport = "/v1/kv/export"
	PathCaches = "/v1/cache-events"
)

// Headers that callers and targets see.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderTimeout    = "Emberlead-Timeout"
	HeaderRepeatable = "Emberlead-Repeatable"
	HeaderRequestID  = "Emberlead-Request-Id"
	HeaderGeneration = "Emberlead-Generation"
	HeaderAttempt    = "Emberlead-Attempt"
)

// RunRequest asks a target to run one attempt at one stage.
type RunRequest struct {
	Attempt   string          `json:"attempt"`
	Workspace string          `json:"workspace"`
	Service   string          `json:"service"`
	Stage     string          `json:"stage"`
	Model     string          `json:"model,omitempty"`
	Input     json.RawMessage `json:"input"`
	Prefix    string          `json:"prefix,omitempty"`
	Priority  int             `json:"priority"`
	Deadline  time.Time       `json:"deadline"`
	Stream    bool            `json:"stream,omitempty"`
	MaxTokens int             `json:"maxTokens,omitempty"`
	// Offset counts the tokens that the caller already has; the target goes on after them.
	Offset    int             `json:"offset,omitempty"`
	Delivered json.RawMessage `json:"delivered,omitempty"`
	// CacheHandle names an exported KV cache to import.
	CacheHandle string `json:"cacheHandle,omitempty"`
}

// RunAnswer is a target's whole answer to one attempt.
type RunAnswer struct {
	Attempt  string          `json:"attempt"`
	Output   json.RawMessage `json:"output,omitempty"`
	Tokens   int             `json:"tokens"`
	Busy     Duration        `json:"busy"`
	CacheHit bool            `json:"cacheHit,omitempty"`
	Load     *Load           `json:"load,omitempty"`
}

// RunChunk is one part of a streamed answer; Offset counts the tokens before it.
type RunChunk struct {
	Attempt string `json:"attempt"`
	Offset  int    `json:"offset"`
	Text    string `json:"text"`
	Tokens  int    `json:"tokens"`
}

// RunRefusal is a target's word on a request that it did not answer.
type RunRefusal struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
}

// Load is a target's report of its own load.
type Load struct {
	Target  string    `json:"target"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	Slots   int       `json:"slots"`
	At      time.Time `json:"at"`
	Models  []string  `json:"models,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// CacheEvent says that a target's prefix cache took in or dropped a prefix; Sequence shows gaps.
type CacheEvent struct {
	Target   string `json:"target"`
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"`
	Present  bool   `json:"present"`
}

// ExportAnswer names an exported KV cache, which any engine of the pool can import.
type ExportAnswer struct {
	Handle string `json:"handle"`
}

// Order tells a target which models and role it should have; targets that check refuse an epoch lower than one seen.
type Order struct {
	Lease  string   `json:"lease"`
	Epoch  uint64   `json:"epoch"`
	Models []string `json:"models"`
	Role   string   `json:"role,omitempty"`
}

// StreamOutput is the output of a streaming stage as a whole answer carries it.
type StreamOutput struct {
	Text string `json:"text"`
}
