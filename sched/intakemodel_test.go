package sched_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"emberlead/sched"
)

// The deployment of the model: a few daemons with much processor time beside many with a quarter of it. Requests need processor
// time when they are read and with each part of their answer, and bytes of the link, also if their connection is closed unread. What
// a daemon cannot do at once waits. In the rush most new connections go to a few daemons. In a third of the seeds bodies are long,
// so that the link of small daemons is the limit.
const (
	intakeSeeds    = 200
	intakeStep     = 5 * time.Millisecond
	intakeBegin    = 8 * time.Second
	intakeEnd      = 18 * time.Second
	intakeAfterEnd = 26 * time.Second
	// intakeContact is how long daemons have to adapt to the rush, and intakeSettle to its end.
	intakeContact = 3 * time.Second
	intakeSettle  = 2 * time.Second
	intakeBig     = 4
	intakeSmall   = 20
	// intakeDeadline is how long callers wait for an answer.
	intakeDeadline = 3 * time.Second
	// longBody is the factor on the bytes of long bodies, and maxUnread how many bytes arrive at most on a connection that is not read.
	longBody  = 3.0
	maxUnread = 16e3
	// intakeAnswers is the number of parts of an answer.
	intakeAnswers = 4
	// intakeHeard is the number of daemons that a daemon hears, every intakeNews.
	intakeHeard = 6
	intakeNews  = 300 * time.Millisecond
	// intakeObserved is how often a daemon looks at its load, if it runs.
	intakeObserved = 100 * time.Millisecond
	// The aim is intakeAim of before, and no less than intakeBound for any seed.
	intakeAim, intakeBound = 0.95, 0.75
)

// modelWork is work that waits for the processor of a daemon.
type modelWork struct {
	request  *modelRequest
	cost     time.Duration
	queuedAt time.Duration
}

type modelRequest struct {
	startedAt time.Duration
	cost      time.Duration
	bytes     float64
	answers   int
	daemon    *modelDaemon
	// client keeps its connection if kept is set, and counted is set while the request counts for the outcome.
	client  *modelClient
	counted *intakeCount
}

// modelClient sends one request after the other over a connection that it keeps.
type modelClient struct {
	daemon *modelDaemon
	nextAt time.Duration
}

// intakeCount counts requests: those that a daemon read, of which it served some, and those whose connections were closed at
// each try.
type intakeCount struct{ read, served, refused, unread, closed int }

// notTaken returns the connections closed and requests refused against the requests read.
func (c *intakeCount) notTaken() float64 {
	return float64(c.closed+c.refused) / float64(max(1, c.read))
}

func (c *intakeCount) share() float64 { return float64(c.served) / float64(max(1, c.read)) }

// modelDaemon is a daemon with a part of a core and a link.
type modelDaemon struct {
	name     int
	cores    float64
	linkRate float64
	maxOpen  int64
	gate     modelGate

	queue     []modelWork
	receiving []*modelRequest
	open      int64
	// used is the processor time since the last observation, arrived the bytes, and waits how long work waited.
	used    time.Duration
	arrived float64
	waits   []time.Duration
	seenAt  time.Duration
	// pressure is what others last heard.
	pressure  float64
	heardOpen int64
}

// modelGate decides what a daemon takes.
type modelGate interface {
	observe(now time.Time, d *modelDaemon, l modelLoad)
	// closes reports whether to close a new connection, and admits whether to serve a request that was read.
	closes(now time.Time, d *modelDaemon, random float64) bool
	admits(now time.Time, fresh bool) bool
	// spreads reports whether callers should send their next requests over new connections.
	spreads() bool
	pressure() float64
}

// modelLoad is what a daemon observes of itself and of others.
type modelLoad struct {
	processor, received float64
	delay, linkDelay    time.Duration
	othersOpen          float64
	othersPressure      []float64
}

type intakeModel struct {
	rng     *rand.Rand
	bytes   float64
	now     time.Duration
	daemons []*modelDaemon
	rushed  []*modelDaemon
	clients []*modelClient
	later   map[time.Duration][]func()
	count   *intakeCount
}

func newIntakeModel(seed uint64, bigRushed bool, newGate func() modelGate) *intakeModel {
	m := &intakeModel{bytes: 4e3, rng: rand.New(rand.NewPCG(seed, 78)), later: map[time.Duration][]func(){}, count: &intakeCount{}}
	for i := range intakeBig + intakeSmall {
		d := &modelDaemon{name: i, cores: 0.8, linkRate: 25e6, maxOpen: 2680, gate: newGate()}
		if i >= intakeBig {
			d.cores, d.linkRate, d.maxOpen = 0.192, 1.25e6, 920
		}
		m.daemons = append(m.daemons, d)
	}
	if seed%3 == 0 {
		m.bytes *= longBody
	}
	m.rushed = m.daemons[intakeBig : intakeBig+2+m.rng.IntN(3)]
	if bigRushed {
		m.rushed = m.daemons[:intakeBig-1]
	}
	return m
}

func (m *intakeModel) at(when time.Duration, fn func()) {
	when = max(m.now+intakeStep, when.Round(intakeStep))
	m.later[when] = append(m.later[when], fn)
}

func (m *intakeModel) clock() time.Time { return time.Unix(0, 0).Add(m.now) }

// connect sends a request over a new connection, at another daemon after each one that closes it unread.
func (m *intakeModel) connect(c *modelClient, rush bool) {
	const tries = 2
	var last *modelDaemon
	bytes := m.bytes * (1 + m.rng.Float64())
	for range tries {
		d := m.daemons[m.rng.IntN(len(m.daemons))]
		if rush && m.rng.Float64() < 0.85 {
			d = m.rushed[m.rng.IntN(len(m.rushed))]
		}
		for d == last {
			d = m.daemons[m.rng.IntN(len(m.daemons))]
		}
		if !d.gate.closes(m.clock(), d, m.rng.Float64()) {
			m.send(c, d, bytes, true)
			return
		}
		m.count.closed++
		d.receiving = append(d.receiving, &modelRequest{daemon: d, bytes: min(bytes, maxUnread), answers: intakeAnswers + 1})
		last = d
	}
	m.count.unread++
}

// send sends a request over an open connection.
func (m *intakeModel) send(c *modelClient, d *modelDaemon, bytes float64, fresh bool) {
	c.daemon = d
	if d.gate.spreads() {
		c.daemon = nil
	}
	r := &modelRequest{startedAt: m.now, daemon: d, client: c, counted: m.count, cost: 2*time.Millisecond + time.Duration(m.rng.Int64N(int64(4*time.Millisecond))), bytes: bytes}
	m.count.read++
	d.open++
	if !d.gate.admits(m.clock(), fresh) {
		m.count.refused++
		d.queue = append(d.queue, modelWork{r, r.cost / 10, m.now})
		m.end(r)
		return
	}
	d.receiving = append(d.receiving, r)
}

func (m *intakeModel) end(r *modelRequest) {
	r.daemon.open--
	r.answers = intakeAnswers + 1
}

// work does what the processor and the link of a daemon can do in a step.
func (m *intakeModel) work(d *modelDaemon) {
	budget := d.linkRate * intakeStep.Seconds()
	for len(d.receiving) > 0 && budget > 0 {
		r := d.receiving[0]
		n := min(budget, r.bytes)
		budget, r.bytes, d.arrived = budget-n, r.bytes-n, d.arrived+n
		if r.bytes > 0 {
			break
		}
		d.receiving = d.receiving[1:]
		d.queue = append(d.queue, modelWork{r, r.cost * 3 / 10, m.now})
	}
	left := time.Duration(d.cores * float64(intakeStep))
	for len(d.queue) > 0 && left > 0 {
		w := &d.queue[0]
		n := min(left, w.cost)
		left, w.cost, d.used = left-n, w.cost-n, d.used+n
		if w.cost > 0 {
			break
		}
		done := *w
		d.queue = d.queue[1:]
		d.waits = append(d.waits, m.now-done.queuedAt)
		m.proceed(done.request)
	}
}

// proceed continues a request once the daemon has done a part of its work.
func (m *intakeModel) proceed(r *modelRequest) {
	if r.answers > intakeAnswers {
		return
	}
	if m.now-r.startedAt > intakeDeadline {
		// The caller has left.
		m.end(r)
		return
	}
	if r.answers == intakeAnswers {
		r.counted.served++
		m.end(r)
		return
	}
	pause := 50*time.Millisecond + time.Duration(m.rng.Int64N(int64(100*time.Millisecond)))
	if r.answers == 0 {
		pause = 200*time.Millisecond + time.Duration(m.rng.Int64N(int64(600*time.Millisecond)))
	}
	r.answers++
	m.at(m.now+pause, func() {
		r.daemon.queue = append(r.daemon.queue, modelWork{r, r.cost * 7 / 10 / intakeAnswers, m.now})
	})
}

// observe shows a daemon its load. A daemon whose processor is busy looks late, though its timers run ahead of its work.
func (m *intakeModel) observe(d *modelDaemon) {
	late := time.Duration(0)
	if len(d.queue) > 0 {
		late = time.Duration(m.rng.Int64N(int64(max(1, min(40*time.Millisecond, 2*(m.now-d.queue[0].queuedAt))))))
	}
	elapsed := m.now - d.seenAt
	if elapsed < intakeObserved+late {
		return
	}
	l := modelLoad{processor: d.used.Seconds() / elapsed.Seconds() / d.cores, received: d.arrived / elapsed.Seconds() / d.linkRate}
	if len(d.queue) > 0 {
		d.waits = append(d.waits, m.now-d.queue[0].queuedAt)
	}
	if n := len(d.waits); n > 0 {
		slices.Sort(d.waits)
		l.delay = d.waits[n*9/10]
	}
	for _, r := range d.receiving {
		l.linkDelay += time.Duration(r.bytes / d.linkRate * float64(time.Second))
	}
	for i := range intakeHeard {
		other := m.daemons[(d.name+1+i*3)%len(m.daemons)]
		l.othersOpen += float64(other.heardOpen) / intakeHeard
		l.othersPressure = append(l.othersPressure, other.pressure)
	}
	d.gate.observe(m.clock(), d, l)
	d.used, d.arrived, d.waits, d.seenAt = 0, 0, d.waits[:0], m.now
}

// intakeOutcome is the share of the requests served that were read, before, during and after the rush.
type intakeOutcome struct {
	before, during, after intakeCount
}

// ratio returns the share that was served in the rush against that before it.
func (o *intakeOutcome) ratio() float64 { return o.during.share() / o.before.share() }

func (o *intakeOutcome) afterRatio() float64 { return o.after.share() / o.before.share() }

// playIntake plays the rush. Before it each daemon is used by a tenth; callers keep a part of their connections.
func playIntake(seed uint64, bigRushed bool, newGate func() modelGate) intakeOutcome {
	m := newIntakeModel(seed, bigRushed, newGate)
	const perSecond, keeping = 180.0, 120
	for range keeping {
		m.clients = append(m.clients, &modelClient{nextAt: time.Duration(m.rng.Int64N(int64(time.Second)))})
	}
	var o intakeOutcome
	for ; m.now < intakeAfterEnd; m.now += intakeStep {
		rush := m.now >= intakeBegin && m.now < intakeEnd
		switch m.now {
		case intakeBegin - intakeContact:
			m.count = &o.before
		case intakeBegin:
			m.count = &intakeCount{}
		case intakeBegin + intakeContact:
			m.count = &o.during
		case intakeEnd:
			m.count = &intakeCount{}
		case intakeEnd + intakeSettle:
			m.count = &o.after
		case intakeAfterEnd - intakeDeadline:
			m.count = &intakeCount{}
		}
		for _, fn := range m.later[m.now] {
			fn()
		}
		delete(m.later, m.now)
		for n := perSecond * intakeStep.Seconds() * 2 * m.rng.Float64(); n > m.rng.Float64(); n-- {
			m.connect(&modelClient{}, rush)
		}
		for _, c := range m.clients {
			if c.nextAt > m.now {
				continue
			}
			c.nextAt = m.now + time.Duration(m.rng.ExpFloat64()*float64(1500*time.Millisecond))
			if c.daemon == nil || m.rng.IntN(8) == 0 {
				m.connect(c, rush)
			} else {
				m.send(c, c.daemon, m.bytes*(1+m.rng.Float64()), false)
			}
		}
		for _, d := range m.daemons {
			m.work(d)
			m.observe(d)
			if m.now%intakeNews == 0 {
				d.pressure, d.heardOpen = d.gate.pressure(), d.open
			}
		}
	}
	return o
}

// Mechanisms that a model is played without.
const (
	withoutDelay   = "the delay of work"
	withoutLink    = "the link"
	withoutCosts   = "the cost of requests"
	withoutClosing = "closed connections"
	// withoutSpreading keeps callers at the daemons that they are connected to.
	withoutSpreading = "spreading"
)

// intakeGate admits what the daemon can serve, without one of its mechanisms if set.
type intakeGate struct {
	sched.Intake
	without string
}

func (g *intakeGate) observe(now time.Time, _ *modelDaemon, l modelLoad) {
	u := sched.Usage{Processor: l.processor, Received: l.received, Delay: l.delay, LinkDelay: l.linkDelay}
	switch g.without {
	case withoutDelay:
		u.Delay, u.LinkDelay = 0, 0
	case withoutLink:
		u.Received, u.LinkDelay = 0, 0
	case withoutCosts:
		u.Processor, u.Received = 0, 0
	}
	g.Observe(now, u, l.othersPressure)
}

func (g *intakeGate) closes(now time.Time, _ *modelDaemon, _ float64) bool {
	return g.without != withoutClosing && g.Closes(now)
}

func (g *intakeGate) admits(now time.Time, fresh bool) bool {
	_, admitted := g.Admit(now, fresh)
	return admitted
}
func (g *intakeGate) spreads() bool     { return g.without != withoutSpreading && g.Spreads() }
func (g *intakeGate) pressure() float64 { return g.Pressure() }
