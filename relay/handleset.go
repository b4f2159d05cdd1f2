package relay

import (
	"sync"

	"emberlead/proto"
)

// maxKnownHandles limits how many handles of results are remembered.
const maxKnownHandles = 4096

// knownHandle is a handle of a run of a target; another run may give it again.
type knownHandle struct {
	run    proto.RunName
	handle string
}

// handleSet remembers the handles that calls returned last. When it is full it drops the older half.
type handleSet struct {
	mu            sync.Mutex
	recent, older map[knownHandle]struct{}
}

// addNew adds the handles of an answer, and reports whether all of them are new. A handle names one result, so an answer with a
// known one was given to an earlier call.
func (s *handleSet) addNew(run proto.RunName, results []ItemResult) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, result := range results {
		if s.has(knownHandle{run, result.Handle}) {
			return false
		}
	}
	for _, result := range results {
		if result.Handle == "" {
			continue
		}
		if s.recent == nil || len(s.recent) >= maxKnownHandles/2 {
			s.older, s.recent = s.recent, map[knownHandle]struct{}{}
		}
		s.recent[knownHandle{run, result.Handle}] = struct{}{}
	}
	return true
}

func (s *handleSet) has(known knownHandle) bool {
	if _, ok := s.recent[known]; ok {
		return true
	}
	_, ok := s.older[known]
	return ok
}
