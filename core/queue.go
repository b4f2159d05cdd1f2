package core

import (
	"slices"
	"time"

	"emberlead/proto"
	"emberlead/state"
)

// Ticket is a queued request for a target of a pool.
type Ticket struct {
	Request   proto.RequestID
	Workspace string
	Weight    float64
	Deadline  time.Time
	// Remaining is the expected time from the start at a free target to the end of the request.
	Remaining time.Duration
	Need      Need
	Since     time.Time
	sequence  uint64
	withdrawn bool
}

// latestStart returns the latest time at which the ticket has to get a target to finish in time.
func (t *Ticket) latestStart() time.Time { return t.Deadline.Add(-t.Remaining) }

// minWorkFraction is the fraction of the expected work that must still fit before the deadline. It is below 1 because
// some requests are faster than the mean.
const minWorkFraction = 0.6

// missesDeadline reports whether the ticket can no longer finish in time.
func (t *Ticket) missesDeadline(now time.Time) bool {
	return t.Deadline.Sub(now) < time.Duration(minWorkFraction*float64(t.Remaining))
}

// Queue orders the tickets that wait for a pool.
type Queue interface {
	Push(ticket *Ticket)
	// Next returns the first ticket without removing it.
	Next(now time.Time) *Ticket
	// Alternative returns another ticket that may be served before the given one and for which match returns true, or nil.
	Alternative(ticket *Ticket, match func(*Ticket) bool) *Ticket
	// Remove removes a ticket that Next or Alternative returned.
	Remove(ticket *Ticket)
	Len() int
	// Ahead returns how many tickets would be served before a new one of the workspace with the given latest start time.
	Ahead(workspace string, latest time.Time) int
	// Expire removes and returns the tickets for which drop returns true.
	Expire(drop func(*Ticket) bool) []*Ticket
}

// arrivalQueue is a first-in, first-out queue.
type arrivalQueue struct{ heap *state.Heap[*Ticket] }

func newArrivalQueue() *arrivalQueue {
	return &arrivalQueue{heap: state.NewHeap(func(a, b *Ticket) bool { return a.sequence < b.sequence })}
}

func (q *arrivalQueue) Push(t *Ticket) { q.heap.Push(t) }

func (q *arrivalQueue) Next(time.Time) *Ticket {
	t, _ := q.heap.Peek()
	return t
}

func (q *arrivalQueue) Alternative(_ *Ticket, match func(*Ticket) bool) *Ticket {
	return alternative(q.heap, match)
}

func (q *arrivalQueue) Remove(t *Ticket) { remove(q.heap, t) }

// maxLookahead is how many queued tickets are searched for one that suits an available target better.
const maxLookahead = 16

func alternative(heap *state.Heap[*Ticket], match func(*Ticket) bool) *Ticket {
	i := heap.Find(maxLookahead, match)
	if i < 0 {
		return nil
	}
	return heap.At(i)
}

func remove(heap *state.Heap[*Ticket], t *Ticket) {
	if i := heap.Find(heap.Len(), func(other *Ticket) bool { return other == t }); i >= 0 {
		heap.RemoveAt(i)
	}
}

func (q *arrivalQueue) Len() int { return q.heap.Len() }

func (q *arrivalQueue) Ahead(string, time.Time) int { return q.heap.Len() }

func (q *arrivalQueue) Expire(drop func(*Ticket) bool) []*Ticket { return expire(q.heap, drop) }

func expire(heap *state.Heap[*Ticket], drop func(*Ticket) bool) []*Ticket {
	var dropped []*Ticket
	heap.RemoveIf(func(t *Ticket) bool {
		if !drop(t) {
			return false
		}
		dropped = append(dropped, t)
		return true
	})
	return dropped
}

// fairQueue orders the workspaces within their fair share by deadline, and after them the others by how far they exceed their share.
type fairQueue struct {
	usage *usage
	slack float64
	lanes map[string]*state.Heap[*Ticket]
	// order holds the workspaces that have a lane, sorted by name, so that sums and ties are the same in each run.
	order []string
	count int
}

func newFairQueue(u *usage, slack float64) *fairQueue {
	return &fairQueue{usage: u, slack: slack, lanes: map[string]*state.Heap[*Ticket]{}}
}

func (q *fairQueue) Push(t *Ticket) {
	lane := q.lanes[t.Workspace]
	if lane == nil {
		lane = state.NewHeap(lessSlack)
		q.lanes[t.Workspace] = lane
		at, _ := slices.BinarySearch(q.order, t.Workspace)
		q.order = slices.Insert(q.order, at, t.Workspace)
	}
	lane.Push(t)
	q.count++
}

func lessSlack(a, b *Ticket) bool {
	x, y := a.latestStart(), b.latestStart()
	if x.Equal(y) {
		return a.sequence < b.sequence
	}
	return x.Before(y)
}

func (q *fairQueue) Next(now time.Time) *Ticket {
	mean := q.meanUse(now)
	var best *Ticket
	bestExcess := 0.0
	for _, workspace := range q.order {
		ticket, _ := q.lanes[workspace].Peek()
		excess := q.excess(workspace, ticket.Weight, mean, now)
		if best == nil || excess < bestExcess || excess == bestExcess && lessSlack(ticket, best) {
			best, bestExcess = ticket, excess
		}
	}
	return best
}

// excess returns 0 for a workspace within its fair share, and otherwise its usage relative to the mean.
func (q *fairQueue) excess(workspace string, weight, mean float64, now time.Time) float64 {
	use := q.usage.recent(workspace, now) / weight
	if mean == 0 || use <= mean*q.slack {
		return 0
	}
	return use / mean
}

// meanUse returns the mean usage of the workspaces that have queued tickets, because a share that nobody waits for may
// be used by others.
func (q *fairQueue) meanUse(now time.Time) float64 {
	spent, weights := 0.0, 0.0
	for _, workspace := range q.order {
		ticket, _ := q.lanes[workspace].Peek()
		spent += q.usage.recent(workspace, now)
		weights += ticket.Weight
	}
	if weights == 0 {
		return 0
	}
	return spent / weights
}

// Alternative searches the lane of the same workspace first and then the lanes of workspaces that have used less, within the slack.
func (q *fairQueue) Alternative(t *Ticket, match func(*Ticket) bool) *Ticket {
	if other := alternative(q.lanes[t.Workspace], match); other != nil {
		return other
	}
	now := t.Need.Now
	ownUse := q.usage.recent(t.Workspace, now) / t.Weight
	for _, workspace := range q.order {
		lane := q.lanes[workspace]
		first, _ := lane.Peek()
		if workspace == t.Workspace || q.usage.recent(workspace, now)/first.Weight > max(ownUse, q.meanUse(now))*q.slack {
			continue
		}
		if other := alternative(lane, match); other != nil {
			return other
		}
	}
	return nil
}

func (q *fairQueue) removeLane(workspace string) {
	delete(q.lanes, workspace)
	if at, ok := slices.BinarySearch(q.order, workspace); ok {
		q.order = slices.Delete(q.order, at, at+1)
	}
}

func (q *fairQueue) Remove(t *Ticket) {
	lane := q.lanes[t.Workspace]
	remove(lane, t)
	q.count--
	if lane.Len() == 0 {
		q.removeLane(t.Workspace)
	}
}

func (q *fairQueue) Len() int { return q.count }

// Ahead counts the workspace's own tickets that must start earlier, and up to the same number, plus one, of each other
// workspace, which approximates the order of Next.
func (q *fairQueue) Ahead(workspace string, latest time.Time) int {
	own := 0
	if lane := q.lanes[workspace]; lane != nil {
		lane.Each(func(t *Ticket) {
			if t.latestStart().Before(latest) {
				own++
			}
		})
	}
	ahead := own
	for other, lane := range q.lanes {
		if other != workspace {
			ahead += min(lane.Len(), own+1)
		}
	}
	return ahead
}

func (q *fairQueue) Expire(drop func(*Ticket) bool) []*Ticket {
	var dropped []*Ticket
	for _, workspace := range slices.Clone(q.order) {
		lane := q.lanes[workspace]
		dropped = append(dropped, expire(lane, drop)...)
		if lane.Len() == 0 {
			q.removeLane(workspace)
		}
	}
	q.count -= len(dropped)
	return dropped
}
