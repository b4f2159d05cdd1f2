package relay

import (
	"time"

	"emberlead/state"
)

// Figures of ejection. A target that fails is left out for a time that doubles with each failure in a row.
const (
	// ejectBase is the first time out; a crashed target takes seconds to come back, a dropped connection none.
	baseEjection = 300 * time.Millisecond
	// ejectMost bounds the time out, so that one that has recovered is used again within a few seconds.
	maxEjection = 4 * time.Second
	// errorWeight is the weight of the newest sample in a target's failure rate: about the last ten count.
	failureWeight = 0.1
	// errorCost is what a certain failure counts for in the choice of a target: a wasted attempt costs about a second.
	failureCost = float64(time.Second)
	// restartCost is what each restart of a target beyond the first counts for, as much as a failure among the last ten
	// attempts, and restartHalf how soon it counts for half: one that has started again works as well as any other, and
	// one that does so every few seconds loses what it is given.
	restartCost     = failureWeight * failureCost
	restartHalfLife = 20 * time.Second
)

// health is what requests of this daemon showed of one target.
type health struct {
	consecutiveFailures int
	ejectedUntil        time.Time
	failureRate         float64
	// restarts counts the target's ends of a run, older ones for less.
	restarts state.DecayingSum
}

func (h *health) recordSuccess() {
	h.consecutiveFailures = 0
	h.ejectedUntil = time.Time{}
	h.failureRate -= failureWeight * h.failureRate
}

func (h *health) recordFailure(now time.Time) {
	h.consecutiveFailures++
	h.failureRate += failureWeight * (1 - h.failureRate)
	out := maxEjection
	if h.consecutiveFailures < 5 {
		out = min(maxEjection, baseEjection<<(h.consecutiveFailures-1))
	}
	h.ejectedUntil = now.Add(out)
}

// afterRestart is the health of a target's next run. What the last one did is no fault of this one, but that it ended is
// remembered.
func (h *health) afterRestart(now time.Time) health {
	next := health{restarts: h.restarts}
	next.restarts.Add(now, restartHalfLife, 1)
	return next
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// cost is what failures and restarts add to the expected time of an attempt.
func (h *health) cost(now time.Time) float64 {
	return h.failureRate*failureCost + max(0, h.restarts.Value(now, restartHalfLife)-1)*restartCost
}
