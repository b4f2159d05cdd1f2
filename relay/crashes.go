package relay

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
	"emberlead/state"
)

const (
	// crashLimit is the number of targets that may end while they run a request, without an answer in between, before
	// it is refused. An end counts against every request that the target ran, although at most one caused it. With a
	// lower limit many innocent requests are refused when targets end in waves for other reasons.
	crashLimit = 3
	// answerValidity is how long an answer from any target counts in favor of a request, and popularCrashLimit is the number of
	// targets that may end after it before the request is refused nevertheless. A request that callers send all the time, such as a
	// page that everyone reads, runs at most targets at any moment, and so at all that end together; but it is also answered all the
	// time, while one that crashes its targets never is. Without this rule, requests that all callers send alike were refused for an
	// hour when all three targets of a pool ended within a second.
	answerValidity    = time.Minute
	popularCrashLimit = 4 * crashLimit
	// maxAnswers limits the number of remembered answered requests, at about 50 bytes each: those of the last seconds
	// of a busy daemon, and requests that recur.
	maxAnswers = 8192
	// crashTTL is how long the end of a target counts. Per period, a request that keeps crashing targets ends three,
	// and those that run it when it is blocked. By the next one the targets may run other software.
	crashTTL = time.Hour
	// maxCrashes limits the number of remembered pairs of request and ended target, at about 200 bytes each: the ends
	// of a few hundred targets with everything that they ran.
	maxCrashes = 8192
	// crashDropDivisor sets the fraction, one in so many, of pairs that is dropped to make room.
	crashDropDivisor = 4
)

// CrashTracker remembers which requests were running at targets when these ended, as seen by any daemon. A nil
// *CrashTracker remembers nothing.
//
// A pair of request and ended target is only ever added, or marked as answered. Daemons thus converge by exchanging
// their data, in any order and any number of times.
type CrashTracker struct {
	self     proto.VM
	clock    clockwork.Clock
	log      hclog.Logger
	listener EndListener

	// answers holds when requests were last answered by this daemon.
	answers answerTimes

	mu       sync.Mutex
	requests map[proto.RequestDigest]crashRecord
	// suspects holds the digests with an end of each run.
	suspects map[proto.RunName][]proto.RequestDigest
	size     int
	digest   uint64
	// partBlocked is closed and replaced when requests with another part are refused.
	partBlocked chan struct{}
	// blocked is the number of blocked requests, and suspected that of requests with ends that count. They save lookups
	// under the lock while there is nothing to find.
	blocked, suspected atomic.Int64
}

// EndListener is called, without a lock held, with newly learned ends and the daemon that sent them: this one if it observed them.
type EndListener func(m proto.TargetEnds, from proto.VM)

// crashRecord holds the ends of targets that were running one request.
type crashRecord map[proto.RunName]crash

// crash is the end of a target that was running a request.
type crash struct {
	at       time.Time
	reporter proto.VM
	answered bool
}

// NewCrashTracker returns an empty tracker. listener is called with each end that is added.
func NewCrashTracker(self proto.VM, clock clockwork.Clock, log hclog.Logger, listener EndListener) *CrashTracker {
	return &CrashTracker{self: self, clock: clock, log: log, listener: listener, requests: map[proto.RequestDigest]crashRecord{}, suspects: map[proto.RunName][]proto.RequestDigest{}, partBlocked: make(chan struct{})}
}

// countingEnds returns how many ends count against the request.
func (r crashRecord) countingEnds() int {
	n := 0
	for run, c := range r {
		if !c.answered && !run.IsProbe() {
			n++
		}
	}
	return n
}

// Blocks reports whether a request is not run because too many targets ended while they ran it, with the evidence.
func (c *CrashTracker) Blocks(request proto.RequestDigest) (Evidence, bool) {
	if c == nil || c.blocked.Load() == 0 {
		return Evidence{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unexplainedEnds(request) < crashLimit {
		return Evidence{}, false
	}
	return c.requests[request].evidence(request, c.clock.Now()), true
}

// Suspects reports whether any end of a target counts against a request.
func (c *CrashTracker) Suspects(request proto.RequestDigest) bool {
	if c == nil || c.suspected.Load() == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[request].countingEnds() > 0
}

// RecordEnd records that a target run ended while it was running requests.
func (c *CrashTracker) RecordEnd(run proto.RunName, at time.Time, requests []proto.RequestDigest) {
	if c == nil || len(requests) == 0 {
		return
	}
	end := proto.TargetEnd{Run: run, Reporter: c.self, Age: c.clock.Now().Sub(at), Requests: requests}
	c.Merge(proto.TargetEnds{Ends: []proto.TargetEnd{end}}, c.self)
}

// RecordAnswer records that a target completely answered a request: it does not crash every target that runs it, so the
// known ends had other causes.
func (c *CrashTracker) RecordAnswer(request proto.RequestDigest) {
	if c == nil {
		return
	}
	now := c.clock.Now()
	c.answers.record(now, request)
	c.clear(now, request)
}

// clear marks the ends that count against a request as answered.
func (c *CrashTracker) clear(now time.Time, request proto.RequestDigest) {
	if !c.Suspects(request) {
		return
	}
	var m proto.TargetEnds
	c.mu.Lock()
	for run, e := range c.requests[request] {
		if !e.answered {
			m.Ends = append(m.Ends, proto.TargetEnd{Run: run, Reporter: e.reporter, Age: now.Sub(e.at), Requests: []proto.RequestDigest{request}, Answered: true})
		}
	}
	c.mu.Unlock()
	c.Merge(m, c.self)
}

// Merge adds ends that this daemon observed or that another one sent.
func (c *CrashTracker) Merge(m proto.TargetEnds, from proto.VM) {
	if c == nil {
		return
	}
	now := c.clock.Now()
	var newEnds proto.TargetEnds
	var blocked []proto.RequestDigest
	c.mu.Lock()
	for _, end := range m.Ends {
		added, nowBlocked := c.mergeEnd(now, end)
		blocked = append(blocked, nowBlocked...)
		if len(added) > 0 {
			end.Requests = added
			newEnds.Ends = append(newEnds.Ends, end)
		}
	}
	c.evict()
	c.mu.Unlock()
	if len(newEnds.Ends) == 0 {
		return
	}
	c.logMerged(newEnds, blocked, from)
	if c.listener != nil {
		c.listener(newEnds, from)
	}
	c.clearRecentlyAnswered(now, blocked)
	c.signalPartsBlocked(blocked)
}

// clearRecentlyAnswered clears requests that would be refused but were answered here shortly before, unless too many
// targets have ended since.
func (c *CrashTracker) clearRecentlyAnswered(now time.Time, requests []proto.RequestDigest) {
	for _, request := range requests {
		answered, known := c.answers.last(request)
		if known && now.Sub(answered) <= answerValidity && !c.tooManySince(request, answered) {
			c.log.Info("a request is not refused, since a target has answered it lately", "digest", request.String(), "age", formatDuration(now.Sub(answered)))
			c.clear(now, request)
		}
	}
}

// tooManySince reports whether so many targets ended after a moment while they ran a request, ends that no longer count
// included, that it is refused although it was answered then.
func (c *CrashTracker) tooManySince(request proto.RequestDigest, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ends []time.Time
	for run, e := range c.requests[request] {
		if e.at.After(at) && !run.IsProbe() {
			ends = append(ends, e.at)
		}
	}
	if request.IsPart() {
		return waves(ends) >= partWaveLimit
	}
	return len(ends) >= popularCrashLimit
}

// mergeEnd adds an end. It returns the requests for which it is new, and those that are refused from now on. The lock must be held.
func (c *CrashTracker) mergeEnd(now time.Time, end proto.TargetEnd) (added, blocked []proto.RequestDigest) {
	for _, request := range end.Requests {
		if end.Age > ttlOf(request) {
			continue
		}
		before := c.requests[request].countingEnds()
		if !c.addEnd(request, end.Run, crash{at: now.Add(-end.Age), reporter: end.Reporter, answered: end.Answered}) {
			continue
		}
		added = append(added, request)
		after := c.requests[request].countingEnds()
		c.updateTotals(before, after)
		if before < crashLimit && after >= crashLimit {
			blocked = append(blocked, request)
		}
	}
	return added, blocked
}

// addEnd adds an end or marks it as answered, and reports whether that changed anything. The lock must be held.
func (c *CrashTracker) addEnd(request proto.RequestDigest, run proto.RunName, e crash) bool {
	record := c.requests[request]
	if record == nil {
		record = crashRecord{}
		c.requests[request] = record
	}
	old, known := record[run]
	switch {
	case known && (old.answered || !e.answered):
		return false
	case known:
		c.digest ^= old.digest(request, run)
		e.at, e.reporter = old.at, old.reporter
	default:
		c.size++
		c.suspects[run] = append(c.suspects[run], request)
	}
	record[run] = e
	c.digest ^= e.digest(request, run)
	return true
}

// removeEnd removes an end. The lock must be held.
func (c *CrashTracker) removeEnd(request proto.RequestDigest, run proto.RunName) {
	record := c.requests[request]
	before := record.countingEnds()
	c.digest ^= record[run].digest(request, run)
	c.size--
	delete(record, run)
	c.suspects[run] = slices.DeleteFunc(c.suspects[run], func(other proto.RequestDigest) bool { return other == request })
	if len(c.suspects[run]) == 0 {
		delete(c.suspects, run)
	}
	c.updateTotals(before, record.countingEnds())
	if len(record) == 0 {
		delete(c.requests, request)
	}
}

// updateTotals updates the totals after a change of the number of ends that count against a request.
func (c *CrashTracker) updateTotals(before, after int) {
	c.suspected.Add(int64(min(1, after) - min(1, before)))
	c.blocked.Add(int64(min(1, after/crashLimit) - min(1, before/crashLimit)))
}

// digest returns the hash of one end, which is the same on all daemons that know it.
func (e crash) digest(request proto.RequestDigest, run proto.RunName) uint64 {
	var key [9]byte
	binary.BigEndian.PutUint64(key[:], uint64(request))
	if e.answered {
		key[8] = 1
	}
	return state.RendezvousScore(xxhash.Sum64(key[:]), state.Hash(string(run)))
}

// Digest returns a hash that is the same on daemons that know the same ends; 0 if none is known.
func (c *CrashTracker) Digest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.digest
}

// Snapshot returns all known ends.
func (c *CrashTracker) Snapshot() proto.TargetEnds {
	type key struct {
		run      proto.RunName
		answered bool
	}
	now := c.clock.Now()
	ends := map[key]*proto.TargetEnd{}
	c.mu.Lock()
	for request, record := range c.requests {
		for run, e := range record {
			k := key{run, e.answered}
			if ends[k] == nil {
				ends[k] = &proto.TargetEnd{Run: run, Reporter: e.reporter, Age: now.Sub(e.at), Answered: e.answered}
			}
			ends[k].Requests = append(ends[k].Requests, request)
		}
	}
	c.mu.Unlock()
	var m proto.TargetEnds
	for _, end := range ends {
		slices.Sort(end.Requests)
		m.Ends = append(m.Ends, *end)
	}
	slices.SortFunc(m.Ends, func(a, b proto.TargetEnd) int { return cmp.Or(cmp.Compare(a.Run, b.Run), cmp.Compare(a.Age, b.Age)) })
	return m
}

// Sweep removes ends that are too old to count. It is called about once per second.
func (c *CrashTracker) Sweep() {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for request, record := range c.requests {
		for run, e := range record {
			if now.Sub(e.at) > ttlOf(request) {
				c.removeEnd(request, run)
			}
		}
	}
}

// evict removes the oldest of the ends of the least suspected requests if there are too many. The lock must be held.
// Requests that are refused stay refused.
func (c *CrashTracker) evict() {
	if c.size <= maxCrashes {
		return
	}
	type entry struct {
		request proto.RequestDigest
		run     proto.RunName
		counted int
		at      time.Time
	}
	all := make([]entry, 0, c.size)
	for request, record := range c.requests {
		counted := record.countingEnds()
		for run, e := range record {
			all = append(all, entry{request, run, counted, e.at})
		}
	}
	slices.SortFunc(all, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.counted, b.counted), a.at.Compare(b.at), cmp.Compare(a.request, b.request))
	})
	for _, k := range all[:len(all)/crashDropDivisor] {
		c.removeEnd(k.request, k.run)
	}
	c.log.Warn("crash tracker is full, dropped its oldest least suspected entries", "forgotten", len(all)/crashDropDivisor, "left", c.size)
}
