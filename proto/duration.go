package proto

import (
	"encoding/json"
	"time"

	"github.com/invopop/jsonschema"
)

// Duration is a time.Duration that is encoded in JSON as a Go duration string such as "1.5s".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the duration in Go syntax.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON decodes a duration string. It fails with KindInvalid.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return newError("read duration", KindInvalid, "%s is not a string such as \"1.5s\"", data)
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return &Error{Op: "read duration", Kind: KindInvalid, Err: err}
	}
	*d = Duration(value)
	return nil
}

// JSONSchema returns the schema of a duration string.
func (Duration) JSONSchema() *jsonschema.Schema {
	return &jsonschema.Schema{
		Type:        "string",
		Pattern:     `^([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+$`,
		Description: "Go duration, for instance \"1.5s\".",
	}
}
