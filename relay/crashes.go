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
	// crashLimit is how many targets may end while a request is at work there, without an answer between, before it is
	// refused. An end accuses all that the target ran, of whom one at most caused it, so that with fewer many requests are refused
	// where targets end by themselves in waves.
	crashLimit = 3
	// answerCounts is for how long an answer by any target speaks for a request, and crashPopular is how many targets may end
	// after it before it is refused all the same. A request that callers send all the time, such as a page that all read,
	// is at work at most targets at any moment, and so at all that end together; it is answered each moment, while one
	// that ends its targets is answered by none. Without this, requests that all callers send alike were refused for
	// an hour when all three targets of a pool ended within a second.
	answerValidity    = time.Minute
	popularCrashLimit = 4 * crashLimit
	// answersMost bounds how many answered requests are remembered, at some 50 bytes each: those of the last seconds of a
	// busy daemon, and whatever comes again and again.
	maxAnswers = 8192
	// crashKept is how long an end counts. A request that goes on ending targets costs three of them, and what is on
	// its way, in each such time; targets may have new software by then.
	crashTTL = time.Hour
	// crashesMost bounds how many ends of targets under requests are remembered, at about 200 bytes each; it is some
	// hundred targets' ends with all that these ran.
	maxCrashes = 8192
	// crashesDropped is one in how many of them makes room for new ones.
	crashDropDivisor = 4
)

// CrashTracker remembers which requests were at work at targets when these ended, whoever saw it. A nil *Crashes knows nothing.
//
// An end under a request is a fact that is only ever added, or marked as answered for: daemons that know different ones come
// to agree by telling each other what they know, in any order and any number of times.
type CrashTracker struct {
	self     proto.VM
	clock    clockwork.Clock
	log      hclog.Logger
	listener EndListener

	// answers are when requests were last answered here.
	answers answerTimes

	mu       sync.Mutex
	requests map[proto.RequestDigest]crashRecord
	size     int
	digest   uint64
	// refused is the number of requests that are refused, and suspected that of requests with ends that count; they
	// spare requests the lock while there is nothing to look up.
	refused, suspected atomic.Int64
}

// EndListener is told, without a lock held, which ends this daemon has learnt, and from which one; from itself if it saw them.
type EndListener func(m proto.TargetEnds, from proto.VM)

// crashRecord holds the ends of targets under one request.
type crashRecord map[proto.RunName]crash

// crash is one end of a target under a request.
type crash struct {
	at       time.Time
	reporter proto.VM
	answered bool
}

// NewCrashTracker returns a memory of no ends; news is told of each end that it learns.
func NewCrashTracker(self proto.VM, clock clockwork.Clock, log hclog.Logger, listener EndListener) *CrashTracker {
	return &CrashTracker{self: self, clock: clock, log: log, listener: listener, requests: map[proto.RequestDigest]crashRecord{}}
}

// counted returns how many ends count against the request.
func (r crashRecord) counted() int {
	n := 0
	for _, c := range r {
		if !c.answered {
			n++
		}
	}
	return n
}

// Blocks tells whether a request ended so many targets that it is run no more, and by what evidence.
func (c *CrashTracker) Blocks(request proto.RequestDigest) (Evidence, bool) {
	if c == nil || c.refused.Load() == 0 {
		return Evidence{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.requests[request]
	if record.counted() < crashLimit {
		return Evidence{}, false
	}
	return record.evidence(c.clock.Now()), true
}

// Suspects tells whether an end of a target counts against a request.
func (c *CrashTracker) Suspects(request proto.RequestDigest) bool {
	if c == nil || c.suspected.Load() == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[request].counted() > 0
}

// Ended notes that a run of a target ended while requests were at work there.
func (c *CrashTracker) Ended(run proto.RunName, at time.Time, requests []proto.RequestDigest) {
	if c == nil || len(requests) == 0 {
		return
	}
	end := proto.TargetEnd{Run: run, Reporter: c.self, Age: c.clock.Now().Sub(at), Requests: requests}
	c.Merge(proto.TargetEnds{Ends: []proto.TargetEnd{end}}, c.self)
}

// Answered notes that a target gave the whole answer to a request: it does not end each target that runs it, so the ends
// known so far had other causes.
func (c *CrashTracker) Answered(request proto.RequestDigest) {
	if c == nil {
		return
	}
	now := c.clock.Now()
	c.answers.record(now, request)
	c.clear(now, request)
}

// clear marks the ends under a request as answered for.
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

// Merge takes in ends that this daemon saw, or another one told.
func (c *CrashTracker) Merge(m proto.TargetEnds, from proto.VM) {
	if c == nil {
		return
	}
	now := c.clock.Now()
	var fresh proto.TargetEnds
	var refused []proto.RequestDigest
	c.mu.Lock()
	for _, end := range m.Ends {
		added, over := c.mergeEnd(now, end)
		refused = append(refused, over...)
		if len(added) > 0 {
			end.Requests = added
			fresh.Ends = append(fresh.Ends, end)
		}
	}
	c.evict()
	c.mu.Unlock()
	if len(fresh.Ends) == 0 {
		return
	}
	c.logMerged(fresh, refused, from)
	if c.listener != nil {
		c.listener(fresh, from)
	}
	c.clearRecentlyAnswered(now, refused)
}

// speakFor clears requests that would be refused and that a target has answered here a short time before, unless too many
// targets ended since.
func (c *CrashTracker) clearRecentlyAnswered(now time.Time, requests []proto.RequestDigest) {
	for _, request := range requests {
		answered, known := c.answers.last(request)
		if known && now.Sub(answered) <= answerValidity && c.endsSince(request, answered) < popularCrashLimit {
			c.log.Info("a request is not refused, since a target has answered it lately", "digest", request.String(), "age", formatDuration(now.Sub(answered)))
			c.clear(now, request)
		}
	}
}

// endsSince returns how many targets ended under a request after a moment, also those that do not count any more.
func (c *CrashTracker) endsSince(request proto.RequestDigest, at time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, e := range c.requests[request] {
		if e.at.After(at) {
			n++
		}
	}
	return n
}

// learnEnd takes in one end and returns the requests for which it is news, and those that are refused from now on; the lock is
// held.
func (c *CrashTracker) mergeEnd(now time.Time, end proto.TargetEnd) (added, refused []proto.RequestDigest) {
	if end.Age > crashTTL {
		return nil, nil
	}
	for _, request := range end.Requests {
		before := c.requests[request].counted()
		if !c.addEnd(request, end.Run, crash{at: now.Add(-end.Age), reporter: end.Reporter, answered: end.Answered}) {
			continue
		}
		added = append(added, request)
		after := c.requests[request].counted()
		c.updateTotals(before, after)
		if before < crashLimit && after >= crashLimit {
			refused = append(refused, request)
		}
	}
	return added, refused
}

// put adds an end, or marks one as answered for, and tells whether that is news; the lock is held.
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
	}
	record[run] = e
	c.digest ^= e.digest(request, run)
	return true
}

// drop forgets an end; the lock is held.
func (c *CrashTracker) removeEnd(request proto.RequestDigest, run proto.RunName) {
	record := c.requests[request]
	before := record.counted()
	c.digest ^= record[run].digest(request, run)
	c.size--
	delete(record, run)
	c.updateTotals(before, record.counted())
	if len(record) == 0 {
		delete(c.requests, request)
	}
}

// recount keeps the totals when the ends that count against a request change.
func (c *CrashTracker) updateTotals(before, after int) {
	c.suspected.Add(int64(min(1, after) - min(1, before)))
	c.refused.Add(int64(min(1, after/crashLimit) - min(1, before/crashLimit)))
}

// digest is that of one end, equal at all daemons that know it.
func (e crash) digest(request proto.RequestDigest, run proto.RunName) uint64 {
	var key [9]byte
	binary.BigEndian.PutUint64(key[:], uint64(request))
	if e.answered {
		key[8] = 1
	}
	return state.RendezvousScore(xxhash.Sum64(key[:]), state.Hash(string(run)))
}

// Digest is equal at daemons that know the same ends; 0 if none is known.
func (c *CrashTracker) Digest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.digest
}

// Snapshot returns all ends that are known.
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

// Sweep forgets ends that are too old to count; it comes every second or so.
func (c *CrashTracker) Sweep() {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for request, record := range c.requests {
		for run, e := range record {
			if now.Sub(e.at) > crashTTL {
				c.removeEnd(request, run)
			}
		}
	}
}

// makeRoom forgets ends under requests that are least suspected, the oldest first, when there are too many; the lock is
// held. What is refused stays refused.
func (c *CrashTracker) evict() {
	if c.size <= maxCrashes {
		return
	}
	type kept struct {
		request proto.RequestDigest
		run     proto.RunName
		counted int
		at      time.Time
	}
	all := make([]kept, 0, c.size)
	for request, record := range c.requests {
		counted := record.counted()
		for run, e := range record {
			all = append(all, kept{request, run, counted, e.at})
		}
	}
	slices.SortFunc(all, func(a, b kept) int {
		return cmp.Or(cmp.Compare(a.counted, b.counted), a.at.Compare(b.at), cmp.Compare(a.request, b.request))
	})
	for _, k := range all[:len(all)/crashDropDivisor] {
		c.removeEnd(k.request, k.run)
	}
	c.log.Warn("ends of targets are forgotten, since there are too many", "forgotten", len(all)/crashDropDivisor, "left", c.size)
}
