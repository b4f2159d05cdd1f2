package core

import (
	"math/rand/v2"
	"time"

	"emberlead/proto"
)

// Need describes what a stage of a request requires of a target.
type Need struct {
	Now         time.Time
	Prefix      string
	Zone        proto.Zone
	Model       string
	ServiceTime float64 // expected seconds on an idle target
	Exclude     string
	// Deadline is the request's deadline. The request is not sent to a target that stops before it.
	Deadline time.Time

	entry  *prefixEntry
	saving float64
}

// Candidate is a target as seen by a Chooser.
type Candidate interface {
	// Available reports whether the candidate may take one more request.
	Available(need *Need) bool
	// Outstanding returns the number of this daemon's requests in progress at the candidate.
	Outstanding() int
	// ExpectedFinish returns the expected seconds until a request sent now is done.
	ExpectedFinish(need *Need) float64
	// Preferred reports whether the candidate is preferred for the request's prompt prefix.
	Preferred(need *Need) bool
}

// Chooser selects one of the candidates, or returns -1 if none is available.
type Chooser[C Candidate] interface {
	Choose(candidates []C, need *Need) int
}

// Random chooses any available candidate.
type Random[C Candidate] struct{ Rand *rand.Rand }

// Choose returns a random available candidate.
func (r *Random[C]) Choose(candidates []C, need *Need) int {
	return firstAvailable(candidates, need, r.Rand.IntN(max(1, len(candidates))))
}

// RoundRobin chooses the available candidates in turn.
type RoundRobin[C Candidate] struct{ next int }

// Choose returns the next available candidate.
func (r *RoundRobin[C]) Choose(candidates []C, need *Need) int {
	i := firstAvailable(candidates, need, r.next%max(1, len(candidates)))
	r.next = i + 1
	return i
}

func firstAvailable[C Candidate](candidates []C, need *Need, from int) int {
	for k := range candidates {
		i := (from + k) % len(candidates)
		if candidates[i].Available(need) {
			return i
		}
	}
	return -1
}

// LeastOutstanding chooses the available candidate with the fewest requests of this daemon in progress.
type LeastOutstanding[C Candidate] struct{ Rand *rand.Rand }

// Choose returns the available candidate with the fewest own requests in progress; ties are broken at random.
func (l *LeastOutstanding[C]) Choose(candidates []C, need *Need) int {
	best, fewest := -1, 0
	from := l.Rand.IntN(max(1, len(candidates)))
	for k := range candidates {
		i := (from + k) % len(candidates)
		if !candidates[i].Available(need) {
			continue
		}
		if n := candidates[i].Outstanding(); best < 0 || n < fewest {
			best, fewest = i, n
		}
	}
	return best
}

// ExpectedFinish chooses the candidate with the earliest expected finish among a few random candidates and those
// preferred for the prompt prefix.
type ExpectedFinish[C Candidate] struct {
	Rand *rand.Rand
	// Sample is the number of available candidates to compare.
	Sample int
}

// Choose compares Sample available candidates and, if the request has a prefix, all preferred candidates.
func (e *ExpectedFinish[C]) Choose(candidates []C, need *Need) int {
	best, earliest, compared := -1, 0.0, 0
	from := e.Rand.IntN(max(1, len(candidates)))
	for k := range candidates {
		i := (from + k) % len(candidates)
		candidate := candidates[i]
		if compared >= e.Sample {
			if need.entry == nil {
				break
			}
			if !candidate.Preferred(need) {
				continue
			}
		}
		if !candidate.Available(need) {
			continue
		}
		compared++
		if finish := candidate.ExpectedFinish(need); best < 0 || finish < earliest {
			best, earliest = i, finish
		}
	}
	return best
}

// Tuning holds the switches and parameters of the decisions.
type Tuning struct {
	// Admission enables the rejection of requests whose deadline cannot be met.
	Admission bool
	// FairQueueing orders queued requests by workspace usage and deadline instead of by arrival.
	FairQueueing bool
	// Limits keeps requests queued while a target's slots are taken.
	Limits bool
	// MaxAttempts is the largest number of attempts at one stage of a request.
	MaxAttempts int
	// RetryRatio is the fraction of a retry that each first attempt earns.
	RetryRatio float64
	// HedgeRatio is the fraction of a hedge that each first attempt earns.
	HedgeRatio float64
	// HedgeDeviations is the number of deviations above the mean after which an attempt is hedged.
	HedgeDeviations float64
	// PeerCorrelation is the weight of the assumption that, since a load report, the other daemons have dispatched like this one.
	PeerCorrelation float64
	// Overcommit is the factor on a target's slots up to which requests are sent to it.
	Overcommit float64
	// EjectAfter is the number of consecutive failures after which a target is ejected.
	EjectAfter int
	// EjectionTime is the length of the first ejection. It doubles with each further one.
	EjectionTime time.Duration
	// RampUpTime is the time over which the limit of a readmitted target grows back.
	RampUpTime time.Duration
	// UsageHalfLife is the half-life of the workspace usage that fair queueing considers.
	UsageHalfLife time.Duration
	// ShareSlack is the multiple of its fair share above which a workspace is ranked last.
	ShareSlack float64
}

// DefaultTuning returns the tuning that daemons use.
func DefaultTuning() Tuning {
	return Tuning{
		Admission:       true,
		FairQueueing:    true,
		Limits:          true,
		MaxAttempts:     3,
		RetryRatio:      0.2,
		HedgeRatio:      0.05,
		HedgeDeviations: 6,
		PeerCorrelation: 0.5,
		Overcommit:      1.25,
		EjectAfter:      3,
		EjectionTime:    time.Second,
		RampUpTime:      10 * time.Second,
		UsageHalfLife:   5 * time.Second,
		ShareSlack:      1.3,
	}
}

// ForObjective adapts the tuning to the objective of a file. Retries and hedges add cost, so a file with a larger cost
// weight gets fewer of them.
func (t Tuning) ForObjective(o proto.Objective) Tuning {
	if o.Attainment == 0 && o.Cost == 0 {
		return t
	}
	attainmentShare := o.Attainment / (o.Attainment + o.Cost)
	t.RetryRatio *= 2 * attainmentShare
	t.HedgeRatio *= max(0, 4*attainmentShare-2)
	return t
}
