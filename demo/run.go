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
	deployment *deployment
	rateFactor atomic.Int64

	mu      sync.Mutex
	faulted map[proto.VM]bool
	faults  []FaultReport
}

// Run executes a run and returns what callers and targets observed.
func Run(ctx context.Context, o Options) (*Report, error) {
	d, err := newDeployment(o.File, o.Entries, o.Seed, o.Log)
	if err != nil {
		return nil, err
	}
	defer d.close()
	if err := d.waitReady(ctx); err != nil {
		return nil, err
	}
	r := &runner{options: o, deployment: d, faulted: map[proto.VM]bool{}}
	r.rateFactor.Store(1)
	loadBalancer := newBalancer(d)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go loadBalancer.pollLoop(ctx)
	generator := newLoadGenerator(o.File, loadBalancer, o.Seed)
	var faults sync.WaitGroup
	for _, f := range o.Faults {
		faults.Go(func() { r.runFault(ctx, f) })
	}
	r.generateLoad(ctx, generator)
	generator.group.Wait()
	faults.Wait()
	report := generator.recorder.finalReport(d.targets.Runs())
	r.completeReport(&report)
	return &report, nil
}

func (r *runner) runFault(ctx context.Context, f Fault) {
	sleep(ctx, f.Offset)
	if ctx.Err() != nil {
		return
	}
	observed := r.inject(ctx, f)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, FaultReport{Fault: string(f.Name), At: f.Offset.String(), Observed: observed})
}

// generateLoad sends requests as a Poisson process with the configured mean rate and prints progress once a second.
func (r *runner) generateLoad(ctx context.Context, c *loadGenerator) {
	random := rand.New(rand.NewPCG(r.options.Seed, 11))
	startedAt := time.Now()
	next := startedAt
	printed := time.Duration(0)
	for number := 0; ctx.Err() == nil; number++ {
		rate := r.options.Rate * float64(r.rateFactor.Load())
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		sleep(ctx, time.Until(next))
		if time.Since(startedAt) >= r.options.Duration {
			return
		}
		c.startCall(ctx, c.nextCall(number))
		if elapsed := time.Since(startedAt).Truncate(time.Second); elapsed > printed {
			printed = elapsed
			c.recorder.printProgress(r.options.Progress, elapsed)
		}
	}
}

func (l *recorder) printProgress(out io.Writer, elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &l.report
	fmt.Fprintf(out, "%4s  sent %d  on time %d  late %d  refused %d  unknown %d  lost %d\n",
		elapsed, p.Sent, p.OnTime, p.Late, p.RefusedNotRun, p.Unknown, p.Lost)
}

func (r *runner) completeReport(report *Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report.Deployment = r.options.Deployment
	report.Seed = r.options.Seed
	report.Faults = r.faults
	report.CostByStage = map[string]core.StageStats{}
	for _, e := range r.deployment.entries {
		core.MergeStages(report.CostByStage, e.daemon.Engine().Stats().Report().Stages)
	}
}
