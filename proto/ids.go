package proto

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// RequestID identifies a request. It is a version 7 UUID.
type RequestID = uuid.UUID

// VM is the name of a virtual machine of the platform.
type VM string

// Zone is the name of an availability zone in the form region/zone.
type Zone string

// Region returns the part of the name before the slash.
func (z Zone) Region() string {
	region, _, _ := strings.Cut(string(z), "/")
	return region
}

// AttemptID identifies one attempt at one stage of a request.
type AttemptID struct {
	Request RequestID
	Stage   int
	Number  int
}

// String returns the form that is sent to targets.
func (a AttemptID) String() string {
	return fmt.Sprintf("%s.%d.%d", a.Request, a.Stage, a.Number)
}

// ParseAttemptID parses the output of String. It fails with KindInvalid.
func ParseAttemptID(s string) (AttemptID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 3 {
		return AttemptID{}, newError("parse attempt id", KindInvalid, "%q has %d parts, not 3", s, len(parts))
	}
	id, err := uuid.Parse(parts[0])
	if err != nil {
		return AttemptID{}, &Error{Op: "parse attempt id", Kind: KindInvalid, Err: err}
	}
	stage, stageErr := strconv.Atoi(parts[1])
	number, numberErr := strconv.Atoi(parts[2])
	if stageErr != nil || numberErr != nil {
		return AttemptID{}, newError("parse attempt id", KindInvalid, "%q has parts that are no numbers", s)
	}
	return AttemptID{Request: id, Stage: stage, Number: number}, nil
}

// Key is a caller's idempotency key. It is a version 7 UUID, so its age can be read from it.
type Key = uuid.UUID

// ParseKey parses an idempotency key. It fails with KindInvalid unless the key is a version 7 UUID.
func ParseKey(s string) (Key, error) {
	key, err := uuid.Parse(s)
	if err != nil {
		return Key{}, &Error{Op: "parse key", Kind: KindInvalid, Err: err}
	}
	if key.Version() != 7 {
		return Key{}, newError("parse key", KindInvalid, "%s is a UUID of version %d, not 7", s, key.Version())
	}
	return key, nil
}

// KeyTime returns the creation time of a key, with millisecond precision.
func KeyTime(key Key) time.Time {
	ms := int64(key[0])<<40 | int64(key[1])<<32 | int64(key[2])<<24 | int64(key[3])<<16 | int64(key[4])<<8 | int64(key[5])
	return time.UnixMilli(ms)
}

// KeyAt returns a key with the given creation time and random bits.
func KeyAt(at time.Time, random [10]byte) Key {
	var key Key
	ms := at.UnixMilli()
	for i := range 6 {
		key[i] = byte(ms >> (40 - 8*i))
	}
	copy(key[6:], random[:])
	key[6] = key[6]&0x0f | 0x70
	key[8] = key[8]&0x3f | 0x80
	return key
}
