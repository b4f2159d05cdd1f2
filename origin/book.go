package origin

import (
	"slices"
	"time"

	"emberlead/proto"
)

// Limits on what is remembered.
const (
	// maxStarts limits the number of remembered streams, at about 150 bytes each.
	maxStarts = 32768
	// maxStartsPerRequest limits the streams of equal requests, such as a question that many callers ask.
	maxStartsPerRequest = 64
	// MaxLifetime is how long a stream is remembered at most.
	MaxLifetime = 10 * time.Minute
)

// Book remembers where streams began. A start is only ever added, so that daemons which exchange starts in any order, and
// any number of times, come to the same answers.
type Book struct {
	byRequest map[proto.RequestDigest][]start
	// order holds the requests of all starts, the oldest first.
	order []proto.RequestDigest
	size  int
}

// start is where a stream began, and until when its caller may take it up again.
type start struct {
	stream proto.StreamKey
	origin proto.StreamOrigin
	until  time.Time
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{byRequest: map[proto.RequestDigest][]start{}} }

// Add remembers where a stream began.
func (b *Book) Add(now time.Time, s proto.StreamStart) {
	lifetime := min(s.Lifetime, MaxLifetime)
	if lifetime <= 0 || s.Origin == (proto.StreamOrigin{}) {
		return
	}
	list := b.byRequest[s.Request]
	for i := range list {
		if list[i].stream == s.Stream && list[i].origin == s.Origin {
			list[i].until = later(list[i].until, now.Add(lifetime))
			return
		}
	}
	if len(list) >= maxStartsPerRequest {
		list = slices.Delete(list, 0, 1)
		b.size--
	}
	b.byRequest[s.Request] = append(list, start{stream: s.Stream, origin: s.Origin, until: now.Add(lifetime)})
	b.order = append(b.order, s.Request)
	b.size++
	for b.size > maxStarts {
		b.dropOldest()
	}
}

// Find returns where a stream began. Without a key it finds any stream of the request. It returns false if that is
// unknown, or if the known starts contradict each other.
func (b *Book) Find(now time.Time, request proto.RequestDigest, stream proto.StreamKey) (proto.StreamOrigin, bool) {
	var found proto.StreamOrigin
	known := false
	for _, s := range b.byRequest[request] {
		if !s.until.After(now) || stream != 0 && s.stream != stream {
			continue
		}
		if known && s.origin != found {
			return proto.StreamOrigin{}, false
		}
		found, known = s.origin, true
	}
	return found, known
}

// Starts returns what is known of the streams of a request.
func (b *Book) Starts(now time.Time, request proto.RequestDigest) []proto.StreamStart {
	var starts []proto.StreamStart
	for _, s := range b.byRequest[request] {
		if s.until.After(now) {
			starts = append(starts, proto.StreamStart{Request: request, Stream: s.stream, Origin: s.origin, Lifetime: s.until.Sub(now)})
		}
	}
	return starts
}

// Requests returns the requests of all remembered streams.
func (b *Book) Requests() []proto.RequestDigest {
	requests := make([]proto.RequestDigest, 0, len(b.byRequest))
	for request := range b.byRequest {
		requests = append(requests, request)
	}
	return requests
}

// Size returns the number of remembered streams.
func (b *Book) Size() int { return b.size }

// Sweep removes the streams that can no longer be taken up.
func (b *Book) Sweep(now time.Time) {
	for request, list := range b.byRequest {
		before := len(list)
		list = slices.DeleteFunc(list, func(s start) bool { return !s.until.After(now) })
		b.size -= before - len(list)
		b.byRequest[request] = list
		if len(list) == 0 {
			delete(b.byRequest, request)
		}
	}
	b.order = slices.DeleteFunc(b.order, func(request proto.RequestDigest) bool { return b.byRequest[request] == nil })
}

func (b *Book) dropOldest() {
	request := b.order[0]
	b.order = b.order[1:]
	list := b.byRequest[request]
	if len(list) == 0 {
		return
	}
	b.size--
	b.byRequest[request] = slices.Delete(list, 0, 1)
	if len(list) == 1 {
		delete(b.byRequest, request)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
