package main

import (
	"slices"
	"sync"
	"time"
)

// runBook holds when targets worked on requests, and writes it down.
type runBook struct {
	record *record

	mu   sync.Mutex
	runs map[string][]*modelRun
}

// modelRun is the work of one target on one request.
type modelRun struct {
	book            *runBook
	request, target string
	after           int
	// acceptedAt, firstAt and endedAt are when the target took the request, made its first event and stopped working; the latter two
	// are zero as long as that has not come.
	acceptedAt, firstAt, endedAt time.Time
}

func (b *runBook) begin(request, target string, after int) *modelRun {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runs == nil {
		b.runs = map[string][]*modelRun{}
	}
	r := &modelRun{book: b, request: request, target: target, after: after, acceptedAt: time.Now()}
	b.runs[request] = append(b.runs[request], r)
	b.record.add("%s takes request %s from event %d on", target, request, after)
	return r
}

func (r *modelRun) started() {
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	r.firstAt = time.Now()
	r.book.record.add("%s makes the first event of request %s", r.target, r.request)
}

func (r *modelRun) end() {
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	r.endedAt = time.Now()
	r.book.record.add("%s ends its work on request %s", r.target, r.request)
}

// overlap is the work of a target on a request that another target had begun to answer before.
type overlap struct {
	request         string
	first, second   *modelRun
	begunAt, endsAt time.Time
}

// overlaps returns, for all requests, for how long an earlier target worked on after a later one had made its first event.
func (b *runBook) overlaps() []overlap {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []overlap
	for request, runs := range b.runs {
		for i, first := range runs {
			for _, second := range runs[i+1:] {
				if second.firstAt.IsZero() || !first.endedAt.After(second.firstAt) {
					continue
				}
				ends := first.endedAt
				if second.endedAt.Before(ends) {
					ends = second.endedAt
				}
				found = append(found, overlap{request, first, second, second.firstAt, ends})
			}
		}
	}
	slices.SortFunc(found, func(x, y overlap) int { return x.begunAt.Compare(y.begunAt) })
	return found
}
