package spread

import "time"

const (
	// minPaced is the size in bytes from which documents are sent to few daemons at a time; smaller ones take no time that matters.
	minPaced = 8 << 10
	// sendsAtOnce is to how many daemons a large document is sent at a time. Those that have it then send it on, so that it reaches all of
	// them sooner than if each got a small part of the sender's bandwidth.
	sendsAtOnce = 2
)

// Sender decides whether a large document is sent to a daemon now, or whether that daemon has to ask another one, or later.
type Sender struct {
	// BytesPerSecond is the rate of this daemon's link; 0 if it has no limit.
	BytesPerSecond float64
	// busyUntil is when all that is being sent will have been sent.
	busyUntil time.Time
}

// Admit reports whether to send a number of bytes now, and records that they are sent.
func (s *Sender) Admit(now time.Time, bytes int) bool {
	if bytes < minPaced || s.BytesPerSecond <= 0 {
		return true
	}
	took := time.Duration(float64(bytes) / s.BytesPerSecond * float64(time.Second))
	if s.busyUntil.Sub(now) > (sendsAtOnce-1)*took {
		return false
	}
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(took)
	return true
}
