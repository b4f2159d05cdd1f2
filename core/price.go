package core

import "time"

// backlog is the work that a pool has been promised and has not begun. Admission compares the time that it will
// take with a limit that is longer the less of the pool a request needs: under overload the pool then takes the
// requests that need least of it, which is what delivers most of them in time. Promised work counts from the
// admission on, through the stages before, so that there is no delay for the limit to swing on.
type backlog struct {
	promised float64 // seconds of slot time, of requests admitted and not yet done with the pool
	begun    float64 // seconds of slot time, of attempts in progress
	mean     float64 // seconds of slot time, of a request on average
	share    float64 // part of the pool that this daemon gets
	updated  time.Time
}

const (
	// backlogLimit is the waiting time up to which a request of average work is taken.
	backlogLimit = 250 * time.Millisecond
	meanWeight   = 0.02
	shareWeight  = 0.05
	shareStep    = 50 * time.Millisecond
	// The limit follows a workspace's use relative to its share between these bounds.
	relativeLeast = 0.25
	relativeMost  = 4.0
)

func (b *backlog) promise(work float64) {
	b.promised += work
	if b.mean == 0 {
		b.mean = work
	}
	b.mean += meanWeight * (work - b.mean)
}

func (b *backlog) settle(work float64) { b.promised = max(0, b.promised-work) }

func (b *backlog) begin(work float64) { b.begun += work }

func (b *backlog) end(work float64) { b.begun = max(0, b.begun-work) }

// updateShare follows the part of the requests at the pool's targets that are this daemon's own.
func (b *backlog) updateShare(now time.Time, own, all float64) {
	if now.Sub(b.updated) < shareStep {
		return
	}
	b.updated = now
	share := (own + 1) / (all + 2)
	if b.share == 0 {
		b.share = share
	}
	b.share += shareWeight * (share - b.share)
}

// wait is how long the work that is promised and not begun will take on so many slots.
func (b *backlog) wait(slots float64) time.Duration {
	waiting := b.promised - b.begun
	if waiting <= 0 || slots <= 0 || b.share <= 0 {
		return 0
	}
	return seconds(waiting / (slots * b.share))
}

// takes tells whether a request of so much work is taken, given its workspace's use relative to its share.
func (b *backlog) takes(slots, work, relative float64) bool {
	if work <= 0 || b.mean <= 0 {
		return true
	}
	relative = min(relativeMost, max(relativeLeast, relative))
	limit := backlogLimit.Seconds() * b.mean / work / relative
	return b.wait(slots).Seconds() <= limit
}
