package relay

import "sync"

// maxKnownHandles limits how many handles of results are remembered.
const maxKnownHandles = 4096

// handleSet remembers the handles that calls returned last. When it is full it drops the older half.
type handleSet struct {
	mu            sync.Mutex
	recent, older map[string]struct{}
}

// addNew adds the handles of an answer, and reports whether all of them are new. A handle names one result, so an answer with a
// known one was given to an earlier call.
func (s *handleSet) addNew(results []ItemResult) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, result := range results {
		if s.has(result.Handle) {
			return false
		}
	}
	for _, result := range results {
		if result.Handle == "" {
			continue
		}
		if s.recent == nil || len(s.recent) >= maxKnownHandles/2 {
			s.older, s.recent = s.recent, map[string]struct{}{}
		}
		s.recent[result.Handle] = struct{}{}
	}
	return true
}

func (s *handleSet) has(handle string) bool {
	if _, ok := s.recent[handle]; ok {
		return true
	}
	_, ok := s.older[handle]
	return ok
}
