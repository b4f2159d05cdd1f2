package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"emberlead/core"
	"emberlead/proto"
)

// Options configures a run.
type Options struct {
	Deployment string
	File       *proto.File
	Duration   time.Duration
	Seed       uint64
	Rate       float64 // requests per second
	Entries    int
	Faults     []Fault
	Progress   io.Writer
	Log        hclog.Logger
}

type runner struct {
	options    Options
	world      *world
	rateFactor atomic.Int64

	mu     sync.Mutex
	hit    map[proto.VM]bool
	faults []FaultReport
}

// Run executes a run and returns what callers and targets observed.
func Run(ctx context.Context, o Options) (*Report, error) {
	w, err := newWorld(o.File, o.Entries, o.Seed, o.Log)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.ready(ctx); err != nil {
		return nil, err
	}
	r := &runner{options: o, world: w, hit: map[proto.VM]bool{}}
	r.rateFactor.Store(1)
	balance := newBalancer(w)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go balance.watch(ctx)
	callers := newCallers(o.File, balance, o.Seed)
	var faults sync.WaitGroup
	for _, f := range o.Faults {
		faults.Go(func() { r.runFault(ctx, f) })
	}
	r.load(ctx, callers)
	callers.group.Wait()
	faults.Wait()
	report := callers.ledger.judge(w.targets.Runs())
	r.complete(&report)
	return &report, nil
}

func (r *runner) runFault(ctx context.Context, f Fault) {
	sleep(ctx, f.At)
	if ctx.Err() != nil {
		return
	}
	seen := r.cause(ctx, f)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, FaultReport{Fault: string(f.Name), At: f.At.String(), Seen: seen})
}

// load sends requests as a Poisson process with the configured mean rate and prints progress once a second.
func (r *runner) load(ctx context.Context, c *callers) {
	random := rand.New(rand.NewPCG(r.options.Seed, 11))
	began := time.Now()
	next := began
	printed := time.Duration(0)
	for number := 0; ctx.Err() == nil; number++ {
		rate := r.options.Rate * float64(r.rateFactor.Load())
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		sleep(ctx, time.Until(next))
		if time.Since(began) >= r.options.Duration {
			return
		}
		c.start(ctx, c.next(number))
		if passed := time.Since(began).Truncate(time.Second); passed > printed {
			printed = passed
			c.ledger.progress(r.options.Progress, passed)
		}
	}
}

func (l *ledger) progress(out io.Writer, passed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &l.report
	fmt.Fprintf(out, "%4s  sent %d  on time %d  late %d  refused %d  unknown %d  lost %d\n",
		passed, p.Sent, p.OnTime, p.Late, p.RefusedNotRun, p.Unknown, p.Lost)
}

func (r *runner) complete(report *Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report.Deployment = r.options.Deployment
	report.Seed = r.options.Seed
	report.Faults = r.faults
	report.CostByStage = map[string]core.StageStats{}
	for _, e := range r.world.entries {
		core.MergeStages(report.CostByStage, e.daemon.Engine().Stats().Report().Stages)
	}
}
