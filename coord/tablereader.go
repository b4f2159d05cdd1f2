package coord

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"emberlead/proto"
)

// ReaderTiming holds the limits by which the daemons of a zone agree who reads a table of the store.
type ReaderTiming struct {
	// Readers is the number of daemons of a zone that read the table by their rank.
	Readers int
	// RefusedAge is how old the copy of such a reader may become while the store turns it away, and SilentAge the same while its calls are
	// under way. Beyond that it asks others to read.
	RefusedAge, SilentAge time.Duration
	// AskInterval is the time between two groups that are asked. The first group has as many daemons as there are readers, and each later
	// one brings the rank up to which daemons were asked to AskGrowth times what it was, up to MaxAsked.
	AskInterval         time.Duration
	AskGrowth, MaxAsked int
	// Lease is how long a daemon reads after it was asked.
	Lease time.Duration
	// MaxAge is how old the copy of any daemon may become before it reads by itself, although nobody asked it.
	MaxAge time.Duration
	// CallSpacing is the mean time between two calls of a zone's daemons that read because of MaxAge and are not answered.
	CallSpacing time.Duration
	// StaleLease is how long such a daemon reads once it was answered.
	StaleLease time.Duration
}

// Standing tells whether a daemon is one of the first of its zone, which read for the others, and how many daemons the zone has.
type Standing struct {
	First bool
	Count int
}

// ReadReason is why a daemon reads a table.
type ReadReason string

// Reasons to read a table.
const (
	// ReadNone means that other daemons read the table.
	ReadNone ReadReason = ""
	// ReadRank means that the daemon is one of the first of its zone.
	ReadRank ReadReason = "rank"
	// ReadAsked means that a reader asked for it.
	ReadAsked ReadReason = "asked"
	// ReadStale means that nobody confirmed the daemon's copy for too long.
	ReadStale ReadReason = "stale copy"
)

// TableReader decides when a daemon reads a table of the store itself. The first daemons of each zone read for the others. What counts is
// how old a daemon knows its copy to be: if a reader's copy gets too old, it asks others of its zone, and a daemon that nobody asks
// reads once its own copy is older still.
type TableReader struct {
	mu     sync.Mutex
	timing ReaderTiming
	random func(n time.Duration) time.Duration
	// confirmed is the latest moment as of which the copy is known to be current.
	confirmed time.Time
	// failedSince is since when calls of this daemon have failed; zero once one is answered.
	failedSince time.Time
	// leases holds until when this daemon reads for those that asked it, and staleLease until when it reads since its copy was too old.
	leases     map[proto.VM]time.Time
	staleLease time.Time
	// probeAt is when this daemon may next read because of the age of its copy.
	probeAt time.Time
	// asked is the rank up to which daemons were asked since the copy became too old, the last of them at askedAt.
	asked   int
	askedAt time.Time
	// standIns holds when the daemons that were asked last told that the store serves them.
	standIns map[proto.VM]time.Time
}

// TableReaderOption configures a TableReader.
type TableReaderOption func(*TableReader)

// WithReaderRandom sets the source of random durations below a limit.
func WithReaderRandom(random func(n time.Duration) time.Duration) TableReaderOption {
	return func(r *TableReader) { r.random = random }
}

// NewTableReader returns a TableReader of a daemon that starts at a time.
func NewTableReader(now time.Time, timing ReaderTiming, options ...TableReaderOption) *TableReader {
	r := &TableReader{timing: timing, random: rand.N[time.Duration], confirmed: now, leases: map[proto.VM]time.Time{}, standIns: map[proto.VM]time.Time{}}
	for _, option := range options {
		option(r)
	}
	return r
}

// Confirm records that this daemon's copy is current as of a moment.
func (r *TableReader) Confirm(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed = latest(r.confirmed, at)
}

// Answered records that the store answered a call of this daemon.
func (r *TableReader) Answered(now time.Time, s Standing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reason(now, s) == ReadStale {
		r.staleLease = now.Add(r.timing.StaleLease)
	}
	r.failedSince, r.probeAt = time.Time{}, time.Time{}
}

// Failed records that a call of this daemon failed.
func (r *TableReader) Failed(now time.Time, s Standing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failedSince.IsZero() {
		r.failedSince = now
	}
	if s.First {
		return
	}
	// A daemon that was asked has tried, and others are asked in its place.
	clear(r.leases)
	r.staleLease = time.Time{}
	r.scheduleProbe(now, s)
}

// scheduleProbe sets the next call of a daemon that reads because of the age of its copy.
func (r *TableReader) scheduleProbe(now time.Time, s Standing) {
	period := r.timing.CallSpacing * time.Duration(s.Count)
	r.probeAt = now.Add(period/2 + r.random(period))
}

// FailedFor returns for how long the calls of this daemon have failed; 0 if the last one was answered.
func (r *TableReader) FailedFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failedSince.IsZero() {
		return 0
	}
	return now.Sub(r.failedSince)
}

// Reason returns why this daemon reads the table now.
func (r *TableReader) Reason(now time.Time, s Standing) ReadReason {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reason(now, s)
}

func (r *TableReader) reason(now time.Time, s Standing) ReadReason {
	switch {
	case s.First:
		return ReadRank
	case r.leased(now):
		return ReadAsked
	case now.Before(r.staleLease):
		return ReadStale
	case now.Sub(r.confirmed) <= r.maxAge(now):
		r.probeAt = time.Time{}
		return ReadNone
	case r.probeAt.IsZero() && r.staleLease.IsZero():
		r.scheduleProbe(now, s)
	}
	if now.Before(r.probeAt) {
		return ReadNone
	}
	return ReadStale
}

// maxAge returns how old the copy may become now. A daemon that had to read before does so again sooner.
func (r *TableReader) maxAge(now time.Time) time.Duration {
	if now.Sub(r.staleLease) < r.timing.StaleLease {
		return r.timing.SilentAge
	}
	r.staleLease = time.Time{}
	return r.timing.MaxAge
}

func (r *TableReader) leased(now time.Time) bool {
	for vm, until := range r.leases {
		if now.Before(until) {
			return true
		}
		delete(r.leases, vm)
	}
	return false
}

// HandleAsk records that a reader asked this daemon to read, and reports whether it does so from now on only.
func (r *TableReader) HandleAsk(now time.Time, from proto.VM) (isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	isNew = !r.leased(now)
	r.leases[from] = now.Add(r.timing.Lease)
	return isNew
}

// HandleStandIn records that the store serves another daemon of the zone that reads.
func (r *TableReader) HandleStandIn(now time.Time, vm proto.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.standIns[vm] = now
}

// lastStandIn returns when a daemon that was asked last told that the store serves it.
func (r *TableReader) lastStandIn() time.Time {
	var last time.Time
	for _, at := range r.standIns {
		last = latest(last, at)
	}
	return last
}

// Renewals returns the daemons whose leases this reader renews, because the store serves them and not this reader.
func (r *TableReader) Renewals(now time.Time, s Standing) []proto.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	var served []proto.VM
	for vm, at := range r.standIns {
		if now.Sub(at) > r.timing.Lease {
			delete(r.standIns, vm)
			continue
		}
		served = append(served, vm)
	}
	if r.failedSince.IsZero() || !s.First {
		return nil
	}
	slices.Sort(served)
	return served[:min(len(served), r.timing.Readers)]
}

// NextAsked returns the ranks, from first to below end, of the daemons that this reader asks now; none if both are equal. Daemons are
// asked in groups until somebody confirms the copy, and each only once.
func (r *TableReader) NextAsked(now time.Time, s Standing) (first, end int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := r.timing.SilentAge
	if !r.failedSince.IsZero() {
		limit = r.timing.RefusedAge
	}
	switch {
	case now.Sub(latest(r.confirmed, r.lastStandIn())) < limit:
		r.asked = 0
		return 0, 0
	case !s.First || r.asked > 0 && now.Sub(r.askedAt) < r.timing.AskInterval:
		return 0, 0
	}
	first, end = r.asked, r.asked*r.timing.AskGrowth
	if r.asked == 0 {
		first, end = r.timing.Readers, 2*r.timing.Readers
	}
	end = min(end, r.timing.MaxAsked, s.Count)
	if first >= end {
		return 0, 0
	}
	r.asked, r.askedAt = end, now
	return first, end
}
