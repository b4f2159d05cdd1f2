package origin

import (
	"slices"
	"time"

	"emberlead/proto"
)

// Limits on what is remembered.
const (
	// maxStarts limits the number of remembered streams, at some 0.7 kB each.
	maxStarts = 32768
	// maxStartsPerRequest limits the streams of equal requests, such as a question that many callers ask, so that others keep room.
	maxStartsPerRequest = maxStarts / 2
	// maxServers limits the remembered daemons that have served a stream. Earlier ones were told by those that went on with it.
	maxServers = 4
	// MaxLifetime is how long a stream is remembered at most.
	MaxLifetime = 10 * time.Minute
)

// Book remembers where streams began. A start is only ever added, so that daemons which exchange starts in any order, and
// any number of times, come to the same answers.
type Book struct {
	byRequest map[proto.RequestDigest]*requestStarts
	// order holds all starts, the oldest first, and some that were removed since.
	order []startName
	size  int
}

// startName names a remembered start.
type startName struct {
	request proto.RequestDigest
	stream  proto.StreamKey
	origin  proto.StreamOrigin
}

// requestStarts holds the streams of equal requests.
type requestStarts struct {
	byStream map[proto.StreamKey][]start
	// order holds the streams, the oldest first, and some that were removed since.
	order []startName
	size  int
	// origins holds until when a stream of each origin may be taken up again.
	origins []start
}

// start is where a stream began, and until when its caller may take it up again.
type start struct {
	origin proto.StreamOrigin
	until  time.Time
	// servers are the daemons that have served the stream, the one that was added last at the end.
	servers []proto.VM
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{byRequest: map[proto.RequestDigest]*requestStarts{}} }

// Add remembers where a stream began.
func (b *Book) Add(now time.Time, s proto.StreamStart) {
	lifetime := min(s.Lifetime, MaxLifetime)
	if lifetime <= 0 || s.Origin == (proto.StreamOrigin{}) {
		return
	}
	r := b.byRequest[s.Request]
	if r == nil {
		r = &requestStarts{byStream: map[proto.StreamKey][]start{}}
		b.byRequest[s.Request] = r
	}
	until := now.Add(lifetime)
	r.origins, _ = addStart(r.origins, s.Origin, until, nil)
	starts, isNew := addStart(r.byStream[s.Stream], s.Origin, until, s.Servers)
	r.byStream[s.Stream] = starts
	if !isNew {
		return
	}
	name := startName{s.Request, s.Stream, s.Origin}
	r.order = append(r.order, name)
	b.order = append(b.order, name)
	r.size++
	b.size++
	for r.size > maxStartsPerRequest {
		oldest := r.order[0]
		r.order = r.order[1:]
		b.remove(oldest)
	}
	for b.size > maxStarts {
		oldest := b.order[0]
		b.order = b.order[1:]
		b.remove(oldest)
	}
}

// addStart adds a start to a list, or extends the one of its origin, and reports whether it is new.
func addStart(starts []start, at proto.StreamOrigin, until time.Time, servers []proto.VM) ([]start, bool) {
	for i := range starts {
		if starts[i].origin == at {
			starts[i].until = later(starts[i].until, until)
			starts[i].addServers(servers)
			return starts, false
		}
	}
	added := start{origin: at, until: until}
	added.addServers(servers)
	return append(starts, added), true
}

func (s *start) addServers(servers []proto.VM) {
	for _, vm := range servers {
		if !slices.Contains(s.servers, vm) {
			s.servers = append(s.servers, vm)
		}
	}
	s.servers = s.servers[max(0, len(s.servers)-maxServers):]
}

// remove forgets a start, if it is still remembered.
func (b *Book) remove(name startName) {
	r := b.byRequest[name.request]
	if r == nil {
		return
	}
	starts := r.byStream[name.stream]
	kept := slices.DeleteFunc(starts, func(s start) bool { return s.origin == name.origin })
	if len(kept) == len(starts) {
		return
	}
	b.size--
	r.size--
	r.byStream[name.stream] = kept
	if len(kept) == 0 {
		delete(r.byStream, name.stream)
	}
	if r.size == 0 {
		delete(b.byRequest, name.request)
	}
}

// Find returns where a stream began. Without a key it finds any stream of the request. It returns false if that is
// unknown, or if the known starts contradict each other.
func (b *Book) Find(now time.Time, request proto.RequestDigest, stream proto.StreamKey) (proto.StreamOrigin, bool) {
	var found proto.StreamOrigin
	known := false
	for _, s := range b.starts(request, stream) {
		if !s.until.After(now) {
			continue
		}
		if known {
			return proto.StreamOrigin{}, false
		}
		found, known = s.origin, true
	}
	return found, known
}

// Servers returns the daemons that are known to have served a stream.
func (b *Book) Servers(request proto.RequestDigest, stream proto.StreamKey) []proto.VM {
	var servers []proto.VM
	if r := b.byRequest[request]; r != nil {
		for _, s := range r.byStream[stream] {
			servers = append(servers, s.servers...)
		}
	}
	return servers
}

// starts returns the starts of a stream or, without a key, one of each origin of the request's streams.
func (b *Book) starts(request proto.RequestDigest, stream proto.StreamKey) []start {
	r := b.byRequest[request]
	switch {
	case r == nil:
		return nil
	case stream == 0:
		return r.origins
	}
	return r.byStream[stream]
}

// Starts returns what is known of the streams of a request.
func (b *Book) Starts(now time.Time, request proto.RequestDigest) []proto.StreamStart {
	var starts []proto.StreamStart
	r := b.byRequest[request]
	if r == nil {
		return nil
	}
	for stream := range r.byStream {
		starts = append(starts, b.StartsOf(now, request, stream)...)
	}
	return starts
}

// StartsOf returns what is known of a stream.
func (b *Book) StartsOf(now time.Time, request proto.RequestDigest, stream proto.StreamKey) []proto.StreamStart {
	var starts []proto.StreamStart
	for _, s := range b.starts(request, stream) {
		if s.until.After(now) {
			starts = append(starts, proto.StreamStart{Request: request, Stream: stream, Origin: s.origin, Lifetime: s.until.Sub(now), Servers: slices.Clone(s.servers)})
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
	expired := func(s start) bool { return !s.until.After(now) }
	for request, r := range b.byRequest {
		before := r.size
		for stream, starts := range r.byStream {
			kept := slices.DeleteFunc(starts, expired)
			r.size -= len(starts) - len(kept)
			r.byStream[stream] = kept
			if len(kept) == 0 {
				delete(r.byStream, stream)
			}
		}
		b.size -= before - r.size
		r.origins = slices.DeleteFunc(r.origins, expired)
		r.order = slices.DeleteFunc(r.order, b.isForgotten)
		if r.size == 0 {
			delete(b.byRequest, request)
		}
	}
	b.order = slices.DeleteFunc(b.order, b.isForgotten)
}

// isForgotten reports whether a start is no longer remembered.
func (b *Book) isForgotten(name startName) bool {
	return !slices.ContainsFunc(b.starts(name.request, name.stream), func(s start) bool { return s.origin == name.origin })
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
