package spread

import (
	"time"

	"emberlead/proto"
)

const (
	// MaxPulls is the number of daemons that are asked at a time.
	MaxPulls = 3
	// HedgeDelay is how long a daemon has to begin its answer before another one is asked as well. Its answer still counts when it comes.
	HedgeDelay = 400 * time.Millisecond
)

// Puller decides which daemons are asked for newer state at a time. One at a time has the bandwidth of the link for itself; but one that
// is dead, overloaded or behind a lost link must not hold up all others.
type Puller struct {
	pulls map[proto.VM]pull
}

// pull is a request that has not ended.
type pull struct {
	startedAt time.Time
	// receiving reports whether the answer has begun to arrive.
	receiving func() bool
}

// Start reports whether a daemon is to be asked now, and records that it is.
func (p *Puller) Start(now time.Time, from proto.VM, receiving func() bool) bool {
	if _, asked := p.pulls[from]; asked || len(p.pulls) >= MaxPulls {
		return false
	}
	for _, other := range p.pulls {
		if now.Sub(other.startedAt) < HedgeDelay || other.receiving() {
			return false
		}
	}
	if p.pulls == nil {
		p.pulls = map[proto.VM]pull{}
	}
	p.pulls[from] = pull{now, receiving}
	return true
}

// End records that a request has ended.
func (p *Puller) End(from proto.VM) { delete(p.pulls, from) }
