package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The disturbance of the case, within what the small deployment names: a share of 0.6 of the servers of a service, 0.03 of their
// answers, for 5.0 s at a time.
const (
	surplusServers   = 2 // of 4
	surplusOneIn     = 34
	surplusWindow    = 5 * time.Second
	surplusEvery     = 10 * time.Second
	minSurplusDelay  = 5 * time.Millisecond
	maxSurplusDelay  = 60 * time.Millisecond
	surplusTraffic   = 80 * time.Second
	requestsPerS     = 9
	arrivalSeed      = 81
	stageServers     = 4
	modelServers     = 4
	piecesPerRequest = maxCallItems
	callerDeadline   = 8 * time.Second
	leadTime         = 10 * time.Second
)

// config is the operator's configuration, cut down to one route with one stage.
var config = map[string]any{
	"version": 7,
	"routes": []any{map[string]any{
		"name": "r-summary", "host": "scores.example", "pathPrefix": "/summary/", "routeType": "streaming", "timeoutMs": 8000, "goalMs": 3600, "priority": 1, "service": "pool", "maxAttempts": 1,
		"stages": []any{map[string]any{"service": "feed", "afterRev": []int{}, "bytes": 8000}}, "public": false, "sticky": true, "resumable": false, "gapTargetMs": 500,
	}},
	"services": []any{
		map[string]any{"name": "pool", "healthPath": "/healthz", "maxConns": 610, "engine": map[string]any{"slots": 128, "kvTokenCapacity": 286093, "kvTokenBytes": 131072, "stride": 3}},
		map[string]any{"name": "feed", "healthPath": "/healthz", "maxConns": 610, "pieces": map[string]any{"slots": 1, "queue": 2, "batch": maxCallItems, "callMs": 200.0, "itemMs": 21.0, "headroomMb": 18.0, "handleS": 4.0, "linkMbps": 10000}},
	},
	"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000},
	"tenants": []any{map[string]any{"name": "north", "apiKeys": []string{"key-of-north"}, "priority": 1}, map[string]any{"name": "south", "apiKeys": []string{"key-of-south"}, "priority": 1}},
}

// caller sends the requests of the case and compares what comes back.
type caller struct {
	deployment *deployment
	record     *record
	sent       atomic.Int64
	served     atomic.Int64
	refused    atomic.Int64
	other      atomic.Int64
	// wrong counts the answers that were made from inputs of other requests.
	wrong atomic.Int64
}

// surplusCase has servers of a stage send an answer once more, a moment after the first time.
func surplusCase(root string, out *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(root)
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	w := newWorld(d.store, out)
	d.store.putJSON("op", "config", config)
	var feeds []*target
	for n := range stageServers {
		t, err := w.newTarget("feed", zones[n%len(zones)].name, 1, 2)
		if err != nil {
			return false, err
		}
		defer t.close()
		t.list()
		feeds = append(feeds, t)
	}
	for n := range modelServers {
		t, err := w.newTarget("pool", zones[n%len(zones)].name, 128, 268)
		if err != nil {
			return false, err
		}
		defer t.close()
		t.list()
	}
	startedAt := time.Now()
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(leadTime - time.Since(startedAt))
	trafficAt := time.Now()
	var answers, surplus atomic.Int64
	for _, t := range feeds[:surplusServers] {
		t.surplus = func() time.Duration {
			if !trouble || time.Since(trafficAt)%surplusEvery < surplusEvery-surplusWindow {
				return 0
			}
			if answers.Add(1)%surplusOneIn != 0 {
				return 0
			}
			surplus.Add(1)
			return minSurplusDelay + rand.N(maxSurplusDelay-minSurplusDelay)
		}
	}
	c := &caller{deployment: d, record: out}
	c.run(trafficAt)
	for _, one := range d.daemons {
		if !one.running() {
			out.say("%s has ended by itself", one.name)
		}
	}
	out.say("requests: %d sent, %d served, %d refused, %d ended otherwise; calls for pieces: %d", c.sent.Load(), c.served.Load(), c.refused.Load(), c.other.Load(), w.calls.Load())
	out.say("surplus answers: %d, of %d answers of the disturbed servers meanwhile", surplus.Load(), answers.Load())
	out.say("inputs of other requests that requests got: %d; answers made from inputs of other requests: %d", w.foreign.Load(), c.wrong.Load())
	return w.foreign.Load() > 0, nil
}

// run sends requests at random times, each over a connection of its own.
func (c *caller) run(startedAt time.Time) {
	var all sync.WaitGroup
	times, at := rand.New(rand.NewPCG(arrivalSeed, 0)), startedAt
	for n := 0; time.Since(startedAt) < surplusTraffic; n++ {
		at = at.Add(time.Duration(times.ExpFloat64() * float64(time.Second) / requestsPerS))
		time.Sleep(time.Until(at))
		all.Add(1)
		go func() {
			defer all.Done()
			c.send(n)
		}()
	}
	all.Wait()
}

// send sends one request and checks its answer. The piece key names the request, and the model's answer tells of which keys its
// inputs were made.
func (c *caller) send(n int) {
	tenant := []string{"north", "south"}[n%2]
	id, key := fmt.Sprintf("%s-%04d", tenant, n), fmt.Sprintf("key%04d", n)
	to := c.deployment.daemons[rand.IntN(len(c.deployment.daemons))]
	c.sent.Add(1)
	c.record.add("request %s of %s sent to %s", id, tenant, to.name)
	status, body, err := exchange(to.front, callerDeadline, "/summary/"+id, map[string]string{
		headerID: id, "Authorization": "Bearer key-of-" + tenant, headerModel: "m", headerTokens: "800,24",
		headerPrompts: fmt.Sprintf("5c1e07a2:550,%08x:250", n), headerPieces: fmt.Sprint(piecesPerRequest), headerKey: key,
	})
	switch {
	case err != nil:
		c.other.Add(1)
		c.record.add("request %s: %v", id, err)
	case status == http.StatusOK && strings.Contains(body, fmt.Sprintf("id: %d\n", summaryTimes.events)):
		c.served.Add(1)
		c.check(id, tenant, key, body)
	case status == http.StatusServiceUnavailable:
		c.refused.Add(1)
		c.record.add("request %s refused", id)
	default:
		c.other.Add(1)
		c.record.add("request %s ends with %d, %d bytes", id, status, len(body))
	}
}

func (c *caller) check(id, tenant, key, body string) {
	for _, line := range strings.Split(body, "\n") {
		text, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		for _, made := range strings.Split(text, ",") {
			if made != key {
				c.wrong.Add(1)
				c.record.add("WRONG answer: request %s of %s with key %s is answered from %s", id, tenant, key, text)
				return
			}
		}
	}
	c.record.add("request %s served", id)
}
