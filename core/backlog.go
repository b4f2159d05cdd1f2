package core

import "time"

// backlog is the work that a pool has been promised, by when it has to start at the latest. Admission asks
// whether everything promised could still start in time if tickets go in that order, so a burst that the
// deadlines can absorb is taken. The more of the pool a request needs, the smaller the part of the time ahead
// that such requests may fill: under overload the pool then takes those that need least of it, which is what
// delivers most of them in time. Work counts from the admission on, through the stages before, so that there
// is no delay for the limit to swing on.
type backlog struct {
	steps   [backlogSteps]float64 // seconds of slot time, by step of the latest start
	first   int64                 // number of the first step
	begun   float64               // seconds of slot time, of attempts in progress
	mean    float64               // seconds of slot time, of a request on average
	share   float64               // part of the pool that this daemon gets
	updated time.Time
}

const (
	backlogSteps = 128
	backlogStep  = 125 * time.Millisecond
	meanWeight   = 0.02
	shareWeight  = 0.05
	shareStep    = 50 * time.Millisecond
	// fillMean is the part of the time ahead that requests of average work may fill.
	fillMean = 0.6
	fillMost = 0.9
	// The part follows a workspace's use relative to its share between these bounds.
	relativeLeast = 0.5
	relativeMost  = 4.0
	// begunLeft is the part of the attempts in progress that is still to be done on average.
	begunLeft = 0.5
)

// promised is what a pool counts for one stage of one request.
type promised struct {
	step int64
	work float64
}

func stepOf(at time.Time) int64 { return at.UnixNano() / int64(backlogStep) }

// advance moves the window to now; work whose latest start has passed counts as due now.
func (b *backlog) advance(now time.Time) {
	step := stepOf(now)
	passed := min(step-b.first, backlogSteps)
	if passed <= 0 {
		return
	}
	due := 0.0
	for i := range passed {
		due += b.steps[i]
	}
	copy(b.steps[:], b.steps[passed:])
	clear(b.steps[backlogSteps-passed:])
	b.steps[0] += due
	b.first = step
}

func (b *backlog) index(step int64) int64 {
	return min(backlogSteps-1, max(0, step-b.first))
}

func (b *backlog) promise(now, latest time.Time, work float64) promised {
	b.advance(now)
	p := promised{step: stepOf(latest), work: work}
	b.steps[b.index(p.step)] += work
	if b.mean == 0 {
		b.mean = work
	}
	b.mean += meanWeight * (work - b.mean)
	return p
}

// settle takes off what was promised, once it has begun or is no longer wanted.
func (b *backlog) settle(now time.Time, p promised) {
	b.advance(now)
	i := b.index(p.step)
	b.steps[i] = max(0, b.steps[i]-p.work)
}

func (b *backlog) begin(work float64) { b.begun += work }

func (b *backlog) end(work float64) { b.begun = max(0, b.begun-work) }

// updateShare follows the part of the requests at the pool's targets that are this daemon's own.
func (b *backlog) updateShare(now time.Time, own, all float64) {
	if now.Sub(b.updated) < shareStep {
		return
	}
	b.updated = now
	share := (own + 1) / (all + 2)
	if b.share == 0 {
		b.share = share
	}
	b.share += shareWeight * (share - b.share)
}

// fill is the part of the time ahead that requests of so much work may fill.
func (b *backlog) fill(work, relative float64) float64 {
	relative = min(relativeMost, max(relativeLeast, relative))
	return min(fillMost, fillMean*b.mean/(work*relative))
}

// takes tells whether everything promised and one request more can start in time.
func (b *backlog) takes(now, latest time.Time, slots, work, relative float64) bool {
	if work <= 0 || b.mean <= 0 || b.share <= 0 {
		return true
	}
	b.advance(now)
	rate := slots * b.share * b.fill(work, relative)
	sum := work + begunLeft*b.begun
	own := b.index(stepOf(latest))
	// Idle slots take a request whatever the estimate says.
	if b.begun+work <= slots*b.share*work && b.empty() {
		return true
	}
	for i := range int64(backlogSteps) {
		sum += b.steps[i]
		if i < own {
			continue
		}
		ahead := time.Duration(b.first+i+1)*backlogStep - time.Duration(now.UnixNano())
		if sum > rate*(ahead+time.Duration(work*float64(time.Second))).Seconds() && b.steps[i]+b.delta(i, own) > 0 {
			return false
		}
	}
	return true
}

// delta marks the step that the request itself adds to.
func (b *backlog) delta(i, own int64) float64 {
	if i == own {
		return 1
	}
	return 0
}

func (b *backlog) empty() bool {
	for _, work := range b.steps {
		if work > 0 {
			return false
		}
	}
	return true
}
