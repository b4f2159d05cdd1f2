package relay

import (
	"sync"
	"time"

	"emberlead/proto"
)

// answerTimes remembers when requests were last answered, for as many as there is room: those that were answered longest ago
// are forgotten first, half of them at a time.
type answerTimes struct {
	mu            sync.Mutex
	newer, former map[proto.RequestDigest]time.Time
}

// note notes that a request was answered.
func (a *answerTimes) note(now time.Time, request proto.RequestDigest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.newer == nil || len(a.newer) >= answersMost/2 {
		a.former, a.newer = a.newer, map[proto.RequestDigest]time.Time{}
	}
	a.newer[request] = now
}

// last returns when a request was last answered, and false if that is not known.
func (a *answerTimes) last(request proto.RequestDigest) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, ok := a.newer[request]; ok {
		return at, true
	}
	at, ok := a.former[request]
	return at, ok
}
