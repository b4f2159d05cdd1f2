package proto

import "time"

// StreamKey identifies a stream by its caller and by the id of the request that began it.
type StreamKey uint64

// StreamOrigin is where a stream began. It may only go on at targets of the same pool and software version.
type StreamOrigin struct {
	Pool     string `cbor:"1,keyasint"`
	Software string `cbor:"2,keyasint"`
}

// StreamStart tells where a stream began.
type StreamStart struct {
	// Request is the digest of the stream's request, which is the same when its caller takes the stream up again.
	Request RequestDigest `cbor:"1,keyasint"`
	Stream  StreamKey     `cbor:"2,keyasint"`
	Origin  StreamOrigin  `cbor:"3,keyasint"`
	// Lifetime is the time from now in which its caller may take the stream up again.
	Lifetime time.Duration `cbor:"4,keyasint"`
	// Servers are the daemons that have served the stream, as far as is known, the latest last.
	Servers []VM `cbor:"5,keyasint,omitempty"`
}

// StreamStarts tells where streams began.
type StreamStarts struct {
	Starts []StreamStart `cbor:"1,keyasint,omitempty"`
}

// StreamAsk requests the StreamStarts of a stream or, without a key, one of each origin of the request's streams.
type StreamAsk struct {
	Request RequestDigest `cbor:"1,keyasint"`
	Stream  StreamKey     `cbor:"2,keyasint,omitempty"`
}

// StreamTakeover tells that a caller has taken a stream up again. A daemon that still serves an earlier request of the stream ends it,
// and answers once its targets have been told to stop. One that has a later request tells that to the sender.
type StreamTakeover struct {
	Request RequestDigest `cbor:"1,keyasint"`
	Stream  StreamKey     `cbor:"2,keyasint"`
	// After is the last event that the caller has, and Age how long ago its request arrived. A request is a later one if its caller has
	// more events or, with as many, if it arrived later.
	After int           `cbor:"3,keyasint,omitempty"`
	Age   time.Duration `cbor:"4,keyasint"`
	// SentAt is when the message was sent, by the same clock as that of a Heartbeat.
	SentAt time.Duration `cbor:"5,keyasint,omitempty"`
	// By is the daemon that goes on with the stream, and Forward is set if the receiver is to tell the daemons that it knows to serve it.
	By      VM   `cbor:"6,keyasint"`
	Forward bool `cbor:"7,keyasint,omitempty"`
}
