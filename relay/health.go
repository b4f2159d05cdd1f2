package relay

import (
	"time"

	"emberlead/state"
)

// A target that fails is ejected for a time that doubles with each consecutive failure.
const (
	// baseEjection is the first ejection time; a crashed target takes seconds to come back, a dropped connection none.
	baseEjection = 300 * time.Millisecond
	// maxEjection bounds the ejection time, so that a target that has recovered is used again within a few seconds.
	maxEjection = 4 * time.Second
	// failureWeight is the weight of the newest sample in a target's failure rate: about the last ten count.
	failureWeight = 0.1
	// failureCost is the cost of a certain failure in the choice of a target: a failed attempt costs about a second.
	failureCost = float64(time.Second)
	// restartCost is the cost of each restart of a target beyond the first, equal to a failure among the last ten
	// attempts, and restartHalfLife is the half-life of that cost. A target that restarted once works as well as any
	// other; one that restarts every few seconds loses the requests it is given.
	restartCost     = failureWeight * failureCost
	restartHalfLife = 20 * time.Second
	// unreachedPause is for how long this daemon prefers other targets to one that it did not reach.
	unreachedPause = 500 * time.Millisecond
)

// health is the health of a target according to this daemon's requests.
type health struct {
	consecutiveFailures int
	ejectedUntil        time.Time
	failureRate         float64
	// silent is set if the target was ejected for its silence.
	silent bool
	// restarts is the decaying count of ends of the target's runs.
	restarts state.DecayingSum
}

func (h *health) recordSuccess() {
	h.consecutiveFailures = 0
	h.ejectedUntil = time.Time{}
	h.silent = false
	h.failureRate -= failureWeight * h.failureRate
}

func (h *health) recordFailure(now time.Time) {
	h.consecutiveFailures++
	h.silent = false
	h.failureRate += failureWeight * (1 - h.failureRate)
	ejection := maxEjection
	if h.consecutiveFailures < 5 {
		ejection = min(maxEjection, baseEjection<<(h.consecutiveFailures-1))
	}
	h.ejectedUntil = now.Add(ejection)
}

// afterRestart returns the health of the target's next run. Failures of the previous run do not count, but its end does.
func (h *health) afterRestart(now time.Time) health {
	next := health{restarts: h.restarts}
	next.restarts.Add(now, restartHalfLife, 1)
	return next
}

// recordSilence records that a target has not responded for longer than expected. The silence may be over when it is ejected, so it
// does not prolong an ejection.
func (h *health) recordSilence(now time.Time) {
	if !h.ejected(now) {
		h.recordFailure(now)
		h.silent = true
	}
}

// recordResponse ends an ejection for silence.
func (h *health) recordResponse() {
	if h.silent {
		h.consecutiveFailures, h.ejectedUntil, h.silent = 0, time.Time{}, false
	}
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// cost returns what failures and restarts add to the expected time of an attempt.
func (h *health) cost(now time.Time) float64 {
	return h.failureRate*failureCost + max(0, h.restarts.Value(now, restartHalfLife)-1)*restartCost
}
