package coord

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"emberlead/proto"
)

// echoMargin is how much later than this daemon's own confirmations those of others must be to be told from echoes of them.
const echoMargin = 100 * time.Millisecond

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
	// FirstCallSpacing is the mean time between the first calls of a zone's daemons that do so at once, and CallSpacing the mean time between
	// their later calls if these are not answered.
	FirstCallSpacing, CallSpacing time.Duration
	// StaleLease is how long such a daemon reads at most, once it was answered, before it looks whether others do.
	StaleLease time.Duration
}

// DefaultReaderTiming returns timing by which a change is in force everywhere within two seconds, if readers check their copies every 1.3 s
// and heartbeats are sent every 0.3 s.
func DefaultReaderTiming() ReaderTiming {
	return ReaderTiming{
		Readers: 2,
		// A short disturbance of the store costs no calls of other daemons.
		RefusedAge: time.Second,
		// The latest check, and the answer of a slow store.
		SilentAge: 1550 * time.Millisecond,
		// The store turns away a third of all daemons at most, unless it serves nobody.
		AskInterval: 100 * time.Millisecond, AskGrowth: 4, MaxAsked: 16,
		Lease: 3 * time.Second,
		// Heartbeats tell the age over a few links, each up to 0.3 s later.
		MaxAge: 3500 * time.Millisecond, FirstCallSpacing: 100 * time.Millisecond, CallSpacing: 1500 * time.Millisecond, StaleLease: 30 * time.Second,
	}
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
	// confirmed is the latest moment as of which the copy is known to be current, confirmedByStore the same as the store told this daemon, and
	// confirmedByOthers as it knows from the reads of others.
	confirmed, confirmedByStore, confirmedByOthers time.Time
	// confirmedByRank is as of when the store last confirmed the copy of a daemon that reads by its rank.
	confirmedByRank time.Time
	// failedSince is since when calls of this daemon have failed, the last of them at failedAt; zero once one is answered.
	failedSince, failedAt time.Time
	// readingSince is since when this daemon has read by its rank or for others, zero if it did not when it last looked. One that has read
	// for a while stops once it knows that others read.
	readingSince time.Time
	// leases holds until when this daemon reads for those that asked it, and staleLease until when it reads since its copy was too old.
	leases     map[proto.VM]time.Time
	staleLease time.Time
	// probeAt is when this daemon may next read because of the age of its copy, and probing is set while it does without a lease.
	probeAt time.Time
	probing bool
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

// Confirm records that the store told this daemon that its copy is current as of a moment.
func (r *TableReader) Confirm(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed, r.confirmedByStore = latest(r.confirmed, at), latest(r.confirmedByStore, at)
}

// ConfirmByOthers records that other daemons told that this daemon's copy is current as of a moment.
func (r *TableReader) ConfirmByOthers(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed = latest(r.confirmed, at)
	// What this daemon itself told comes back to it, and is never later.
	if at.Sub(r.confirmedByStore) > echoMargin {
		r.confirmedByOthers = latest(r.confirmedByOthers, at)
	}
}

// Answered records that the store answered a call of this daemon.
func (r *TableReader) Answered(now time.Time, s Standing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.probing && !s.First {
		r.extendStaleLease(now)
	}
	r.probing = false
	r.failedSince, r.failedAt, r.probeAt = time.Time{}, time.Time{}, time.Time{}
}

// Failed records that a call of this daemon failed.
func (r *TableReader) Failed(now time.Time, s Standing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failedSince.IsZero() {
		r.failedSince = now
	}
	r.failedAt = now
	if s.First {
		return
	}
	// A daemon that was asked has tried, and others are asked in its place.
	clear(r.leases)
	r.staleLease, r.probing, r.readingSince = time.Time{}, false, time.Time{}
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
	leased := r.leased(now)
	if (s.First || leased) && r.readingSince.IsZero() {
		r.readingSince = now
	}
	switch {
	case s.First:
		r.staleLease = time.Time{}
		return ReadRank
	case leased:
		return ReadAsked
	}
	rankReads := now.Sub(r.confirmedByRank) <= r.timing.MaxAge
	othersRead := rankReads || now.Sub(r.confirmedByOthers) <= r.timing.MaxAge
	if rankReads {
		r.staleLease = time.Time{}
	}
	if !r.readingSince.IsZero() && now.Sub(r.readingSince) >= r.timing.Lease/2 && !othersRead {
		r.extendStaleLease(now)
	}
	r.readingSince = time.Time{}
	switch {
	case now.Before(r.staleLease):
		return ReadStale
	case !r.staleLease.IsZero() && !othersRead:
		r.extendStaleLease(now)
		return ReadStale
	case now.Sub(r.confirmed) <= r.timing.MaxAge:
		r.staleLease = time.Time{}
		if now.Sub(r.failedAt) > r.timing.MaxAge {
			r.failedSince, r.failedAt, r.probeAt = time.Time{}, time.Time{}, time.Time{}
		}
		return ReadNone
	case r.probeAt.IsZero():
		r.probeAt = now.Add(r.random(r.timing.FirstCallSpacing * time.Duration(s.Count)))
	}
	if now.Before(r.probeAt) {
		return ReadNone
	}
	r.probing = true
	return ReadStale
}

// extendStaleLease has this daemon go on reading although nobody asked it. Of several daemons that do so, one stops first.
func (r *TableReader) extendStaleLease(now time.Time) {
	r.staleLease = now.Add(r.timing.StaleLease/2 + r.random(r.timing.StaleLease/2))
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

// HandleAsk records that a reader asked this daemon to read, and reports whether it does so from now on only. All readers of a zone ask,
// and a daemon whose call failed a moment ago has tried for all of them.
func (r *TableReader) HandleAsk(now time.Time, from proto.VM) (isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failedAt.IsZero() && now.Sub(r.failedAt) < r.timing.RefusedAge {
		return false
	}
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

// HandleServedReader records as of when the store confirmed the copy of a daemon that reads by its rank. This daemon need not read for as
// long as it hears of that.
func (r *TableReader) HandleServedReader(asOf time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedByRank = latest(r.confirmedByRank, asOf)
}

// StandIns returns the daemons that lately told that the store serves them in place of this one.
func (r *TableReader) StandIns(now time.Time) []proto.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentStandIns(now)
}

func (r *TableReader) currentStandIns(now time.Time) []proto.VM {
	var served []proto.VM
	for vm, at := range r.standIns {
		if now.Sub(at) > r.timing.Lease {
			delete(r.standIns, vm)
			continue
		}
		served = append(served, vm)
	}
	slices.Sort(served)
	return served
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
	served := r.currentStandIns(now)
	if r.failedSince.IsZero() || !s.First {
		return nil
	}
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
