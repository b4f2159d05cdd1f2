package proto

import (
	"encoding/json"
	"time"

	"github.com/invopop/jsonschema"
)

// Duration is a time.Duration that JSON writes as a Go duration string such as "1.5s".
type Duration time.Duration

// Std returns the standard library's form.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the Go duration string.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes the duration string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON reads a duration string; it fails with KindInvalid.
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

// JSONSchema describes the duration string.
func (Duration) JSONSchema() *jsonschema.Schema {
	return &jsonschema.Schema{
		Type:        "string",
		Pattern:     `^([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+$`,
		Description: "Go duration, for instance \"1.5s\".",
	}
}
