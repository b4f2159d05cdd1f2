package proto

import (
	"encoding/json"
	"time"
)

// Paths of the target API.
const (
	PathRun         = "/v1/run"
	PathCancel      = "/v1/cancel"
	PathLoad        = "/v1/load"
	PathOrders      = "/v1/orders"
	PathExport      = "/v1/kv/export"
	PathCacheEvents = "/v1/cache-events"
)

// Headers of the caller and target APIs.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderTimeout    = "Emberlead-Timeout"
	HeaderRepeatable = "Emberlead-Repeatable"
	HeaderRequestID  = "Emberlead-Request-Id"
	HeaderGeneration = "Emberlead-Generation"
	HeaderAttempt    = "Emberlead-Attempt"
)

// RunRequest asks a target to run one attempt at a stage.
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
	// Offset is the number of tokens that the caller already has; the target continues after them.
	Offset    int             `json:"offset,omitempty"`
	Delivered json.RawMessage `json:"delivered,omitempty"`
	// CacheHandle identifies an exported KV cache to import.
	CacheHandle string `json:"cacheHandle,omitempty"`
}

// RunAnswer is the complete answer of a target to an attempt.
type RunAnswer struct {
	Attempt  string          `json:"attempt"`
	Output   json.RawMessage `json:"output,omitempty"`
	Tokens   int             `json:"tokens"`
	Busy     Duration        `json:"busy"`
	CacheHit bool            `json:"cacheHit,omitempty"`
	Load     *Load           `json:"load,omitempty"`
}

// RunChunk is one part of a streamed answer. Offset is the number of tokens before it.
type RunChunk struct {
	Attempt string `json:"attempt"`
	Offset  int    `json:"offset"`
	Text    string `json:"text"`
	Tokens  int    `json:"tokens"`
}

// RunRefusal is the response of a target that did not answer a request.
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

// CacheEvent reports that a target's prefix cache added or evicted a prefix. Gaps in Sequence show lost events.
type CacheEvent struct {
	Target   string `json:"target"`
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"`
	Present  bool   `json:"present"`
}

// ExportAnswer identifies an exported KV cache, which any engine of the pool can import.
type ExportAnswer struct {
	Handle string `json:"handle"`
}

// Order tells a target which models and role to use. Targets that check orders reject an epoch lower than one they have seen.
type Order struct {
	Lease  string   `json:"lease"`
	Epoch  uint64   `json:"epoch"`
	Models []string `json:"models"`
	Role   string   `json:"role,omitempty"`
}

// StreamOutput is the output of a streaming stage in a complete answer.
type StreamOutput struct {
	Text string `json:"text"`
}
