package relay

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// lateClose is how long after the decision a connection may be closed without a warning.
const lateClose = 50 * time.Millisecond

// workSpan records when a target may have worked on a request, as far as this daemon can know.
type workSpan struct {
	clock  clockwork.Clock
	target string
	// number is that of the attempt among those of the request, from 1.
	number int
	// released is closed once the connection is closed, or the target has answered.
	released chan struct{}
	release  func()

	mu sync.Mutex
	// carrier is the daemon that carried the connection, or "" for an own one.
	carrier proto.VM
	// sentAt is when the first byte of the request was about to be written, stoppedAt when this daemon decided to stop the target, closedAt
	// when it had closed the connection, and endedAt when the attempt ended; zero if that has not happened.
	sentAt, stoppedAt, closedAt, endedAt time.Time
	outcome                              string
}

func newWorkSpan(clock clockwork.Clock, target string, number int) *workSpan {
	w := &workSpan{clock: clock, target: target, number: number, released: make(chan struct{})}
	w.release = sync.OnceFunc(func() { close(w.released) })
	return w
}

// addWork adds the record of an attempt.
func (f *flow) addWork(target string) *workSpan {
	f.workMu.Lock()
	defer f.workMu.Unlock()
	w := newWorkSpan(f.server.clock, target, len(f.work)+1)
	f.work = append(f.work, w)
	return w
}

// begin records that the request is about to be written.
func (w *workSpan) begin(carrier proto.VM) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.carrier, w.sentAt = carrier, w.clock.Now()
}

// stop records the decision to stop the target, unless the attempt has ended.
func (w *workSpan) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.endedAt.IsZero() && w.stoppedAt.IsZero() {
		w.stoppedAt = w.clock.Now()
	}
}

// isSent reports whether the request may have been written.
func (w *workSpan) isSent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.sentAt.IsZero()
}

// isReleased reports whether the connection is closed, or the target has answered.
func (w *workSpan) isReleased() bool {
	select {
	case <-w.released:
		return true
	default:
		return false
	}
}

// close records that the connection was closed, and returns how long after the decision that was.
func (w *workSpan) close() (late time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closedAt.IsZero() {
		return 0
	}
	w.closedAt = w.clock.Now()
	w.release()
	if w.stoppedAt.IsZero() {
		return 0
	}
	return w.closedAt.Sub(w.stoppedAt)
}

// end records how the attempt ended.
func (w *workSpan) end(result *attemptResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endedAt = w.clock.Now()
	switch {
	case result.done:
		w.outcome = "answered"
	case result.notRun && result.sent:
		w.outcome = "not run, as the target says: " + result.reason
	case result.notRun, w.sentAt.IsZero():
		w.outcome = "not sent: " + result.reason
	default:
		w.outcome = "may have run: " + result.reason
	}
}

// workLogEntry is a workSpan in the log, with times since the request arrived.
type workLogEntry struct {
	Target  string   `json:"target"`
	Carrier proto.VM `json:"by,omitempty"`
	Sent    string   `json:"sent,omitempty"`
	Stopped string   `json:"stopped,omitempty"`
	Closed  string   `json:"closed,omitempty"`
	Ended   string   `json:"ended,omitempty"`
	Outcome string   `json:"outcome,omitempty"`
}

// workLog returns when each target may have worked on the request, for the log.
func (f *flow) workLog() []workLogEntry {
	entries := make([]workLogEntry, 0, len(f.work))
	since := func(at time.Time) string {
		if at.IsZero() {
			return ""
		}
		return formatDuration(at.Sub(f.startedAt))
	}
	for _, w := range f.work {
		w.mu.Lock()
		entries = append(entries, workLogEntry{w.target, w.carrier, since(w.sentAt), since(w.stoppedAt), since(w.closedAt), since(w.endedAt), w.outcome})
		w.mu.Unlock()
	}
	return entries
}
