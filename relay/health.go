package relay

import "time"

// Figures of ejection. A target that fails is left out for a time that doubles with each failure in a row.
const (
	// ejectBase is the first time out; a crashed target takes seconds to come back, a dropped connection none.
	ejectBase = 300 * time.Millisecond
	// ejectMost bounds the time out, so that one that has recovered is used again within a few seconds.
	ejectMost = 4 * time.Second
	// errorWeight is the weight of the newest sample in a target's failure rate: about the last ten count.
	errorWeight = 0.1
	// errorCost is what a certain failure counts for in the choice of a target: a wasted attempt costs about a second.
	errorCost = float64(time.Second)
)

// health is what requests of this daemon showed of one target.
type health struct {
	inRow    int
	outUntil time.Time
	rate     float64
}

func (h *health) succeeded() {
	h.inRow = 0
	h.outUntil = time.Time{}
	h.rate -= errorWeight * h.rate
}

func (h *health) failed(now time.Time) {
	h.inRow++
	h.rate += errorWeight * (1 - h.rate)
	out := ejectMost
	if h.inRow < 5 {
		out = min(ejectMost, ejectBase<<(h.inRow-1))
	}
	h.outUntil = now.Add(out)
}

func (h *health) out(now time.Time) bool { return now.Before(h.outUntil) }

// cost is what the failure rate adds to the expected time of an attempt.
func (h *health) cost() float64 { return h.rate * errorCost }
