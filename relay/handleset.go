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

// pieceName names a piece of a request. A target may give its result the same handle when it makes it again.
type pieceName struct {
	request      string
	stage, piece int
}

// handleSet remembers the handles that calls returned last, and whose results they name. When it is full it drops the older half.
type handleSet struct {
	mu            sync.Mutex
	recent, older map[knownHandle]pieceName
}

// addOwn adds the handles of an answer to a call, and reports whether none of them is known as that of another piece. Such an
// answer was given to an earlier call.
func (s *handleSet) addOwn(c *Call, results []ItemResult) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := c.Target.RunName()
	for i, result := range results {
		if piece, known := s.find(knownHandle{run, result.Handle}); known && piece != c.Items[i].name() {
			return false
		}
	}
	for i, result := range results {
		if result.Handle == "" {
			continue
		}
		if s.recent == nil || len(s.recent) >= maxKnownHandles/2 {
			s.older, s.recent = s.recent, map[knownHandle]pieceName{}
		}
		s.recent[knownHandle{run, result.Handle}] = c.Items[i].name()
	}
	return true
}

func (s *handleSet) find(handle knownHandle) (pieceName, bool) {
	if piece, known := s.recent[handle]; known {
		return piece, true
	}
	piece, known := s.older[handle]
	return piece, known
}

func (i CallItem) name() pieceName {
	return pieceName{i.Job.Params.RequestID, i.Job.Params.Stage, i.Piece}
}
