package serve

import (
	"math/rand/v2"
	"sync"
	"time"

	"emberlead/sched"
)

// maxPressure is the largest pressure that a heartbeat tells, in hundredths.
const maxPressure = 255

// requestIntake decides which connections and requests this daemon takes. It closes new connections unread while others can serve their
// requests, and this daemon cannot.
type requestIntake struct {
	meter *loadMeter

	mu     sync.Mutex
	rush   sched.Rush
	intake sched.Intake
	// refused is the number of requests refused for own limits at the last observation.
	refused int64
	counts  intakeStats
	limits  bool
}

// intakeStats tells what this daemon did not take, as the metrics endpoint shows it.
type intakeStats struct {
	// Closed counts the connections that were closed unread since the start, and Refused the requests that were read and for which
	// the processor or the link had no room.
	Closed  int64 `json:"closed"`
	Refused int64 `json:"refused"`
	// Share is the share of new connections that is closed now, since the daemon is at other limits of its own.
	Share float64 `json:"share"`
	// Pressure is the use of the scarcest part of the VM, and Limited whether requests are limited to Rate a second.
	Pressure float64 `json:"pressure"`
	Limited  bool    `json:"limited"`
	Rate     float64 `json:"rate"`
}

// observe records the load of this daemon and the pressures of others, and returns whether it began or stopped to limit its requests.
func (c *requestIntake) observe(now time.Time, load sched.RushLoad, refused int64, linkDelay time.Duration, others []float64) (u usage, changed bool) {
	u = c.meter.read(now, linkDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	load.Refused = refused - c.refused
	c.refused = refused
	c.rush.Observe(load)
	c.intake.Observe(now, u.forIntake(linkDelay), others)
	limits := c.intake.Limits() || c.rush.Share() > 0
	changed = limits != c.limits
	c.limits = limits
	return u, changed
}

// closes reports whether to close a new connection.
func (c *requestIntake) closes(now time.Time, open int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.rush.Closes(now, open, rand.Float64()) && !c.intake.Closes(now) {
		return false
	}
	c.counts.Closed++
	return true
}

// admit decides whether to serve a request that was read.
func (c *requestIntake) admit(now time.Time, fresh bool) (retryAfter time.Duration, admitted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	retryAfter, admitted = c.intake.Admit(now, fresh)
	if !admitted {
		c.counts.Refused++
	}
	return retryAfter, admitted
}

// spreads reports whether callers should send their next requests to other daemons.
func (c *requestIntake) spreads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.intake.Spreads()
}

// delay returns how late this daemon is with everything.
func (c *requestIntake) delay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.intake.Delay()
}

func (c *requestIntake) stats() intakeStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.counts
	s.Share, s.Pressure, s.Limited, s.Rate = c.rush.Share(), c.intake.Pressure(), c.intake.Limits(), c.intake.Rate()
	return s
}

// pressure returns the pressure as a heartbeat tells it.
func (c *requestIntake) pressure() uint8 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return uint8(min(maxPressure, 100*c.intake.Pressure()))
}

func (u *usage) forIntake(linkDelay time.Duration) sched.Usage {
	return sched.Usage{Processor: u.Processor, Received: u.Received, Sent: u.Sent, Delay: time.Duration(u.RunDelayP90 * float64(time.Millisecond)), LinkDelay: linkDelay}
}

// relayIntake is the intake as the relay sees it.
type relayIntake struct{ daemon *Relay }

// Admit decides whether to serve a request that was read, or else when its caller should come back.
func (i relayIntake) Admit(fresh bool) (retryAfter time.Duration, admitted bool) {
	return i.daemon.intake.admit(i.daemon.clock.Now(), fresh)
}

// Spreads reports whether callers should send their next requests to other daemons.
func (i relayIntake) Spreads() bool { return i.daemon.intake.spreads() }

// observeIntake records the load of this daemon and of those that it hears.
func (d *Relay) observeIntake() {
	load := sched.RushLoad{Open: d.server.OpenRequests(), MaxOpen: d.limits.MaxOpen}
	now := d.clock.Now()
	var pressures []float64
	load.OthersOpen, pressures = d.peers.othersLoad()
	u, changed := d.intake.observe(now, load, d.server.Counts().OwnLimitRefusals(), d.peers.linkDelay(now), pressures)
	if changed {
		d.log.Info("requests are limited to what this daemon can serve, or no longer", "intake", d.intake.stats(), "open", load.Open, "openMost", load.MaxOpen, "othersOpen", load.OthersOpen, "othersPressures", pressures, "usage", u)
	}
}

// othersLoad returns the mean number of open requests of the other daemons that were heard, -1 if none was, and their pressures.
func (p *relayPeers) othersLoad() (open float64, pressures []float64) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0
	for _, load := range p.loads {
		if now.Sub(load.at) <= peerSilenceTimeout {
			sum += load.open
			pressures = append(pressures, load.pressure)
		}
	}
	if len(pressures) == 0 {
		return -1, nil
	}
	return float64(sum) / float64(len(pressures)), pressures
}

// linkDelay returns how long heartbeats of other daemons wait on this daemon's link.
func (p *relayPeers) linkDelay(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay.Delay(now)
}
