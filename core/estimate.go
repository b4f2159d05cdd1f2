package core

import (
	"sync"
	"time"

	"emberlead/state"
)

const defaultServiceTime = 50 * time.Millisecond

// estimates learns the service time of each stage of each service.
type estimates struct {
	mu     sync.RWMutex
	stages map[stageKey]*state.Mean
}

type stageKey struct {
	service string
	stage   string
}

func newEstimates() *estimates {
	return &estimates{stages: map[stageKey]*state.Mean{}}
}

func (e *estimates) add(service, stage string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := stageKey{service, stage}
	mean := e.stages[key]
	if mean == nil {
		mean = &state.Mean{}
		e.stages[key] = mean
	}
	mean.Add(took.Seconds())
}

// lookup returns the mean and the deviation in seconds, and whether they were learned or are defaults.
func (e *estimates) lookup(service, stage string) (mean, deviation float64, known bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	m := e.stages[stageKey{service, stage}]
	if m == nil {
		return defaultServiceTime.Seconds(), defaultServiceTime.Seconds(), false
	}
	return m.Mean(), m.Deviation(), true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
