package core

import (
	"math/rand/v2"
	"time"

	"emberlead/proto"
)

// Need is what a stage of a request asks of a target.
type Need struct {
	Now         time.Time
	Prefix      string
	Zone        proto.Zone
	Model       string
	ServiceTime float64 // expected seconds at an idle target
	Exclude     string
	// Deadline is that of the request: it is not sent to a target that stops before it.
	Deadline time.Time

	entry  *prefixEntry
	saving float64
}

// Candidate is what a Chooser ranks.
type Candidate interface {
	// Available tells whether the candidate may take one more request.
	Available(need *Need) bool
	// Outstanding returns the own requests in progress.
	Outstanding() int
	// ExpectedFinish returns the expected seconds until a request sent now is done.
	ExpectedFinish(need *Need) float64
	// Preferred tells whether the candidate is one of those that a prefix maps to.
	Preferred(need *Need) bool
}

// Chooser picks one of the candidates, or -1 if none is open.
type Chooser[C Candidate] interface {
	Choose(candidates []C, need *Need) int
}

// Random picks any open candidate.
type Random[C Candidate] struct{ Rand *rand.Rand }

// Choose picks one open candidate at random.
func (r *Random[C]) Choose(candidates []C, need *Need) int {
	return firstAvailable(candidates, need, r.Rand.IntN(max(1, len(candidates))))
}

// RoundRobin picks the open candidates in turn.
type RoundRobin[C Candidate] struct{ next int }

// Choose picks the next open candidate.
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

// LeastOutstanding picks the open candidate with the fewest own requests.
type LeastOutstanding[C Candidate] struct{ Rand *rand.Rand }

// Choose picks the open candidate with the fewest own requests; ties fall to a random one.
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

// ExpectedFinish picks the earliest expected finish among a few random candidates and those the prefix maps to.
type ExpectedFinish[C Candidate] struct {
	Rand *rand.Rand
	// Sample is how many open candidates are compared.
	Sample int
}

// Choose compares Sample open candidates and every preferred one it meets on the way.
func (e *ExpectedFinish[C]) Choose(candidates []C, need *Need) int {
	best, earliest, seen := -1, 0.0, 0
	from := e.Rand.IntN(max(1, len(candidates)))
	for k := range candidates {
		i := (from + k) % len(candidates)
		candidate := candidates[i]
		if seen >= e.Sample {
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
		seen++
		if finish := candidate.ExpectedFinish(need); best < 0 || finish < earliest {
			best, earliest = i, finish
		}
	}
	return best
}

// Tuning holds the switches and constants of the policy.
type Tuning struct {
	// Admission refuses a request whose deadline cannot be met.
	Admission bool
	// Fair ranks waiting requests by workspace usage and deadline instead of by arrival.
	FairQueueing bool
	// Limits holds requests back when a target's slots are taken.
	Limits bool
	// MostAttempts bounds the attempts at one stage of one request.
	MaxAttempts int
	// RetryRatio is the part of a retry that each first attempt earns.
	RetryRatio float64
	// HedgeRatio is the part of a hedge that each first attempt earns.
	HedgeRatio float64
	// HedgeDeviations is how many deviations past the mean an attempt may take before it is hedged.
	HedgeDeviations float64
	// PeerCorrelation is the weight of the assumption that other daemons dispatched as this one did since a load report.
	PeerCorrelation float64
	// Overcommit is the factor on a target's slots up to which it is sent requests.
	Overcommit float64
	// EjectAfter is the number of failures in a row that ejects a target.
	EjectAfter int
	// EjectionTime is the first ejection's length; it doubles each time.
	EjectionTime time.Duration
	// RampUpTime is the time over which a target's limit grows back.
	RampUpTime time.Duration
	// UsageHalfLife is the half-life of the spent time that fairness looks at.
	UsageHalfLife time.Duration
	// ShareSlack is the factor over its fair share from which a workspace ranks last.
	ShareSlack float64
}

// DefaultTuning returns the tuning that daemons run with.
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

// ForObjective returns the tuning for a file's objective: retries and hedges cost, so a file that weighs cost gets fewer.
func (t Tuning) ForObjective(o proto.Objective) Tuning {
	if o.Attainment == 0 && o.Cost == 0 {
		return t
	}
	attainmentShare := o.Attainment / (o.Attainment + o.Cost)
	t.RetryRatio *= 2 * attainmentShare
	t.HedgeRatio *= max(0, 4*attainmentShare-2)
	return t
}
