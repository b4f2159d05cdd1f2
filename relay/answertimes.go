package relay

import (
	"sync"
	"time"

	"emberlead/proto"
)

// answerTimes remembers when requests were last answered, for a limited number of requests. When it is full it drops the older half.
type answerTimes struct {
	mu            sync.Mutex
	recent, older map[proto.RequestDigest]time.Time
}

// record records that a request was answered.
func (a *answerTimes) record(now time.Time, request proto.RequestDigest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.recent == nil || len(a.recent) >= maxAnswers/2 {
		a.older, a.recent = a.recent, map[proto.RequestDigest]time.Time{}
	}
	a.recent[request] = now
}

// last returns when a request was last answered, or false if it is unknown.
func (a *answerTimes) last(request proto.RequestDigest) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, ok := a.recent[request]; ok {
		return at, true
	}
	at, ok := a.older[request]
	return at, ok
}
