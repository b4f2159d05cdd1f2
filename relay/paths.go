package relay

import (
	"iter"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

const (
	// DirectHeadStart is how long an own connection to a target may take to open before another daemon is asked for one.
	DirectHeadStart = 80 * time.Millisecond
	// linkProbeInterval is the time between two own connections to a target whose link is lost, and between those to any
	// target while this daemon is cut off.
	linkProbeInterval = 500 * time.Millisecond
	// cutOffTargets is at how many targets own connections must have failed in a row, at least two of which others reached, for all links
	// to count as lost; fewer if there are fewer targets.
	cutOffTargets = 4
	// carrierPause is for how long a daemon is asked after the others since it could not carry.
	carrierPause = 300 * time.Millisecond
	// notByTime is for how long a daemon that did not reach a target is asked after the others.
	notByTime = 2 * time.Second
	// unreachableTime is for how long other daemons are not asked again for a target that they did not reach, and confirmedTime for how
	// long own failures there count as the target's, which covers those of connections that were being opened then.
	unreachableTime = 300 * time.Millisecond
	confirmedTime   = 2 * unreachableTime
	// maxCarriersAsked is how many daemons are asked for one connection, and confirmations how many of them must not reach a target that
	// counts as unreachable for all: one may have lost its own link without knowing it yet.
	maxCarriersAsked, confirmations = 4, 2
	// doubtfulFailures is the number of targets at which own connections must fail in a row for a daemon to doubt its links, unless one
	// was opened within linkProofTime.
	doubtfulFailures = 2
	linkProofTime    = 500 * time.Millisecond
	// noneReachedTime is how long targets, at least cutOffTargets of them, must not have been reached over any path for this daemon to count
	// as reaching none, and noneReachedTTL how long that counts if no request tries again.
	noneReachedTime = time.Second
	noneReachedTTL  = 2 * time.Second
	// verifyInterval is the minimum time between two connections that a daemon opens only to verify its links.
	verifyInterval = 100 * time.Millisecond
	// otherZoneLoad is the factor on the load of daemons in other zones: what they carry crosses zones once more.
	otherZoneLoad = 1.5
	// avoidedLoad is added to the load of daemons that did not reach the target or could not carry, and twice to that of daemons that have
	// lost all of their links, so that all others are asked before.
	avoidedLoad = 1e9
	// pathTTL is how long the state of an unused path is kept.
	pathTTL = time.Minute
)

// Carrier is a daemon that may carry connections to targets for this one.
type Carrier struct {
	VM   proto.VM
	Zone proto.Zone
	// Load is the number of requests and carried connections that it had open when it was last heard.
	Load int
	// CutOff is set if it has lost its links to all targets.
	CutOff bool
}

// Carriers lists the other daemons.
type Carriers interface {
	// Carriers returns the daemons that are heard and can carry.
	Carriers() []Carrier
	// Count returns the number of live daemons, this one included.
	Count() int
}

// TargetAddresses lists the addresses of all targets.
type TargetAddresses interface {
	Addresses() iter.Seq[netip.AddrPort]
	AddressCount() int
}

// CarryOutcome is why a daemon did not open a connection to a target for another one.
type CarryOutcome uint8

// Outcomes of a request to carry a connection.
const (
	// CarryUnanswered means that the daemon did not answer.
	CarryUnanswered CarryOutcome = iota
	// CarryBusy means that it carries as much as it can, or does not know the target.
	CarryBusy
	// CarryUnreachable means that it does not reach the target either.
	CarryUnreachable
)

// Paths tracks which targets this daemon reaches over links of its own, and which ones only other daemons reach. A link is
// lost if an own connection failed and another daemon could open one; a target that no daemon reaches is down. What is
// known here holds for this daemon alone.
type Paths struct {
	zone     proto.Zone
	clock    clockwork.Clock
	log      hclog.Logger
	carriers Carriers
	targets  TargetAddresses

	mu    sync.Mutex
	paths map[netip.AddrPort]*path
	// lost is the number of lost links. connectedAt is when an own connection to any target was last opened.
	lost        int
	connectedAt time.Time
	// unreached holds the targets that were not reached over any path, from unreachedSince until unreachedAt, since the last one that was.
	unreached                   map[netip.AddrPort]bool
	unreachedSince, unreachedAt time.Time
	// triedAt is when a request last tried although no target was reached.
	triedAt time.Time
	// cutOffAt is when this daemon lost its links to all targets; zero if it did not.
	cutOffAt time.Time
	// failedInRow holds the targets at which own connections failed since connectedAt.
	failedInRow map[netip.AddrPort]bool
	// probedAt is when an own connection was last tried over a lost link, and verifiedAt when one was only to verify links.
	probedAt, verifiedAt time.Time
	sweptAt              time.Time
	// pausedUntil holds until when daemons are asked last, and open how many connections each one carries for this one.
	pausedUntil map[proto.VM]time.Time
	open        map[proto.VM]int
	rotation    int
	counts      PathStats
}

// path is the state of the link to one target.
type path struct {
	// connectedAt is when an own connection was last opened, and failedAt when one last failed.
	connectedAt, failedAt time.Time
	// carriedAt is when another daemon last opened a connection, and unreachableAt when others last confirmed that they could not.
	carriedAt, unreachableAt time.Time
	// heardAt is when data last arrived over an own connection.
	heardAt  time.Time
	probedAt time.Time
	usedAt   time.Time
	lost     bool
	// notBy holds when daemons last did not reach the target for this one.
	notBy map[proto.VM]time.Time
}

// avoids reports whether a daemon did not reach the target a moment ago.
func (l *path) avoids(now time.Time, by proto.VM) bool {
	at, known := l.notBy[by]
	return known && now.Sub(at) < notByTime
}

// PathStats counts what happened to links to targets since the start.
type PathStats struct {
	// Lost is the number of links that are lost now, and CutOff is set if all of them are.
	Lost   int  `json:"lost"`
	CutOff bool `json:"cutOff"`
	// Carried counts the connections that other daemons opened for this one, and NotCarried those that they could not open.
	Carried    int64 `json:"carried"`
	NotCarried int64 `json:"notCarried"`
	// Doubtful counts failures that did not count against a target, since its link may have failed.
	Doubtful int64 `json:"doubtful"`
}

// NewPaths returns a tracker that considers all links as working.
func NewPaths(zone proto.Zone, clock clockwork.Clock, log hclog.Logger, carriers Carriers, targets TargetAddresses) *Paths {
	return &Paths{zone: zone, clock: clock, log: log, carriers: carriers, targets: targets, paths: map[netip.AddrPort]*path{}, failedInRow: map[netip.AddrPort]bool{}, unreached: map[netip.AddrPort]bool{}, pausedUntil: map[proto.VM]time.Time{}, open: map[proto.VM]int{}}
}

// path returns the state of a link, and adds it if necessary. The caller holds the lock.
func (p *Paths) path(now time.Time, to netip.AddrPort) *path {
	l := p.paths[to]
	if l == nil {
		l = &path{}
		p.paths[to] = l
	}
	l.usedAt = now
	return l
}

// usesLink reports whether an own connection to a target is likely to work. The caller holds the lock.
func (p *Paths) usesLink(l *path) bool {
	return !l.lost && (p.cutOffAt.IsZero() || l.connectedAt.After(p.cutOffAt))
}

// UsesLink reports whether own connections to a target are used.
func (p *Paths) UsesLink(to netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost == 0 {
		return true
	}
	return p.usesLink(p.path(p.clock.Now(), to))
}

// Plan returns whether to open an own connection to a target, with other daemons as the second choice, instead of asking them at once.
// probe is set if an own connection should be tried beside that.
func (p *Paths) Plan(to netip.AddrPort) (direct, probe bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.path(now, to)
	if p.usesLink(l) {
		return true, false
	}
	// While this daemon is cut off, one lost link at a time stands for all of them. Links that were not found lost are tried each.
	probe = now.Sub(l.probedAt) >= linkProbeInterval && (!l.lost || p.cutOffAt.IsZero() || now.Sub(p.probedAt) >= linkProbeInterval)
	if probe {
		l.probedAt, p.probedAt = now, now
	}
	return false, probe
}

// MayConnect reports whether a link that is not used, since this daemon is cut off, may work: no connection has failed over it since then.
func (p *Paths) MayConnect(to netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.path(p.clock.Now(), to)
	return !l.lost && !l.failedAt.After(p.cutOffAt)
}

// Carriers returns the daemons that can carry connections now.
func (p *Paths) Carriers() []Carrier { return p.carriers.Carriers() }

// NextCarrier returns the daemon to ask for a connection to a target: the one with the least load that was not asked yet.
func (p *Paths) NextCarrier(to netip.AddrPort, asked map[proto.VM]bool) (Carrier, bool) {
	if len(asked) >= maxCarriersAsked {
		return Carrier{}, false
	}
	candidates := p.carriers.Carriers()
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.path(now, to)
	var best Carrier
	lowest, found := 0.0, false
	p.rotation++
	for i := range candidates {
		c := candidates[(p.rotation+i)%len(candidates)]
		if asked[c.VM] {
			continue
		}
		load := float64(c.Load + p.open[c.VM] + 1)
		if c.Zone != p.zone {
			load *= otherZoneLoad
		}
		if l.avoids(now, c.VM) || now.Before(p.pausedUntil[c.VM]) {
			load += avoidedLoad
		}
		if c.CutOff {
			load += 2 * avoidedLoad
		}
		if !found || load < lowest {
			best, lowest, found = c, load, true
		}
	}
	return best, found
}

// RecordConnected records that an own connection to a target was opened.
func (p *Paths) RecordConnected(to netip.AddrPort) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.path(now, to)
	l.connectedAt, l.heardAt, p.connectedAt = now, now, now
	clear(p.failedInRow)
	clear(p.unreached)
	if l.lost {
		l.lost = false
		p.lost--
		p.log.Info("link to a target works again", "address", to, "lostLinks", p.lost)
	}
	if !p.cutOffAt.IsZero() {
		p.log.Info("links to targets work again", "after", formatDuration(now.Sub(p.cutOffAt)), "lostLinks", p.lost)
		p.cutOffAt = time.Time{}
	}
}

// RecordHeard records that data of a target arrived, over an own connection or a carried one.
func (p *Paths) RecordHeard(to netip.AddrPort, own bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.unreached)
	if own {
		p.path(now, to).heardAt = now
	}
}

// RecordUnreached records that a target was not reached over any path.
func (p *Paths) RecordUnreached(to netip.AddrPort) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	// A time without any attempt is no time in which nothing was reached.
	if len(p.unreached) == 0 || now.Sub(p.unreachedAt) > noneReachedTTL {
		clear(p.unreached)
		p.unreachedSince = now
	}
	p.unreached[to], p.unreachedAt = true, now
}

// RecordFailed records that an own connection to a target could not be opened.
func (p *Paths) RecordFailed(to netip.AddrPort, err error) {
	now, targets := p.clock.Now(), p.targets.AddressCount()
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.path(now, to)
	l.failedAt = now
	p.failedInRow[to] = true
	p.update(now, to, l, "", err)
	p.checkCutOff(now, targets)
}

// RecordCarried records that another daemon opened a connection to a target for this one.
func (p *Paths) RecordCarried(to netip.AddrPort, by proto.VM) {
	now, targets := p.clock.Now(), p.targets.AddressCount()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Carried++
	p.open[by]++
	l := p.path(now, to)
	l.carriedAt = now
	clear(p.unreached)
	p.update(now, to, l, by, nil)
	p.checkCutOff(now, targets)
}

// RecordClosed records that a connection that another daemon carried was closed.
func (p *Paths) RecordClosed(by proto.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[by]--; p.open[by] <= 0 {
		delete(p.open, by)
	}
}

// RecordNotCarried records that a daemon did not open a connection to a target.
func (p *Paths) RecordNotCarried(to netip.AddrPort, by proto.VM, outcome CarryOutcome) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.NotCarried++
	if outcome != CarryUnreachable {
		p.pausedUntil[by] = now.Add(carrierPause)
		return
	}
	l := p.path(now, to)
	if l.notBy == nil {
		l.notBy = map[proto.VM]time.Time{}
	}
	l.notBy[by] = now
}

// RecordUnreachable records that none of the daemons asked for a connection to a target reached it. It counts as unreachable for all if
// these were enough, or all that there are.
func (p *Paths) RecordUnreachable(to netip.AddrPort, askedAll bool, unreached int) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if unreached >= confirmations || askedAll && unreached > 0 {
		p.path(now, to).unreachableAt = now
	}
}

// Unreachable reports whether other daemons did not reach a target a moment ago either.
func (p *Paths) Unreachable(to netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unreachable(to, unreachableTime)
}

func (p *Paths) unreachable(to netip.AddrPort, within time.Duration) bool {
	l := p.paths[to]
	return l != nil && l.unreachableAt.After(l.carriedAt) && p.clock.Now().Sub(l.unreachableAt) <= within
}

// DoubtsLinks reports whether this daemon cannot tell whether a target that it does not reach is down: it failed to reach others too.
func (p *Paths) DoubtsLinks() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.doubtsLinks(p.clock.Now())
}

func (p *Paths) doubtsLinks(now time.Time) bool {
	return !p.cutOffAt.IsZero() || len(p.failedInRow) >= doubtfulFailures && now.Sub(p.connectedAt) > linkProofTime
}

// NoneReached reports whether this daemon reached no target for a while, neither by itself nor through others. Then a request may try again
// once in a while, as this one if wait is 0.
func (p *Paths) NoneReached() (wait time.Duration, none bool) {
	now, targets := p.clock.Now(), p.targets.AddressCount()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unreached) < min(cutOffTargets, targets) || now.Sub(p.unreachedSince) < noneReachedTime || now.Sub(p.unreachedAt) > noneReachedTTL {
		return 0, false
	}
	if wait = linkProbeInterval - now.Sub(p.triedAt); wait > 0 {
		return wait, true
	}
	p.triedAt = now
	return 0, true
}

// VerifyWith returns a target at which an own connection has not failed, to verify this daemon's links with it. It returns false if there
// is none, or the links were verified a moment ago.
func (p *Paths) VerifyWith() (netip.AddrPort, bool) {
	addresses := p.targets.Addresses()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.verifyWith(addresses, p.failedInRow)
}

// VerifyAnyPath returns a target to find out whether none is reached over any path, once some were not. It returns false if there is
// none, or one was tried a moment ago.
func (p *Paths) VerifyAnyPath() (netip.AddrPort, bool) {
	addresses := p.targets.Addresses()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unreached) < doubtfulFailures {
		return netip.AddrPort{}, false
	}
	return p.verifyWith(addresses, p.unreached)
}

// verifyWith returns an address that is not among those that failed, unless one was returned a moment ago. The caller holds the lock.
func (p *Paths) verifyWith(addresses iter.Seq[netip.AddrPort], failed map[netip.AddrPort]bool) (netip.AddrPort, bool) {
	now := p.clock.Now()
	if now.Sub(p.verifiedAt) < verifyInterval {
		return netip.AddrPort{}, false
	}
	for address := range addresses {
		if !failed[address] {
			p.verifiedAt = now
			return address, true
		}
	}
	return netip.AddrPort{}, false
}

// update records a link as lost once an own connection has failed and another daemon could open one since the link last worked.
func (p *Paths) update(now time.Time, to netip.AddrPort, l *path, by proto.VM, err error) {
	if l.lost || !l.failedAt.After(l.connectedAt) || !l.carriedAt.After(l.connectedAt) {
		return
	}
	l.lost, l.probedAt = true, now
	p.lost++
	p.log.Warn("link to a target is lost, while another daemon reaches it", "address", to, "by", by, "error", err, "lostLinks", p.lost)
}

// checkCutOff records that all links are lost, once enough own connections have failed in a row. The caller holds the lock.
func (p *Paths) checkCutOff(now time.Time, targets int) {
	if p.cutOffAt.IsZero() && p.lost >= min(2, targets) && len(p.failedInRow) >= min(cutOffTargets, targets) {
		p.cutOffAt = now
		p.log.Warn("links to all targets are lost; other daemons carry connections to them", "lostLinks", p.lost, "failed", len(p.failedInRow), "targets", targets)
	}
}

// HeardSince reports whether a target was reached over an own connection after a given time.
func (p *Paths) HeardSince(to netip.AddrPort, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.paths[to]
	return l != nil && l.heardAt.After(since)
}

// Confirmed reports whether a target that this daemon does not reach counts as unreachable for all: another daemon did not reach it
// either, or there is no other one.
func (p *Paths) Confirmed(to netip.AddrPort) bool {
	if p.carriers.Count() <= 1 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.unreachable(to, confirmedTime) {
		p.counts.Doubtful++
		return false
	}
	return true
}

// CutOff reports whether this daemon has lost its links to all targets.
func (p *Paths) CutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.cutOffAt.IsZero()
}

// Stats returns the current state and the totals.
func (p *Paths) Stats() PathStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.counts
	stats.Lost, stats.CutOff = p.lost, !p.cutOffAt.IsZero()
	return stats
}

// Sweep removes the state of links that have not been used for long. It is called several times per second.
func (p *Paths) Sweep() {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.sweptAt) < pathTTL/4 {
		return
	}
	p.sweptAt = now
	for to, l := range p.paths {
		if now.Sub(l.usedAt) <= pathTTL {
			continue
		}
		if l.lost {
			p.lost--
		}
		delete(p.paths, to)
	}
	if p.lost == 0 {
		p.cutOffAt = time.Time{}
	}
	for vm, until := range p.pausedUntil {
		if now.After(until) {
			delete(p.pausedUntil, vm)
		}
	}
}
