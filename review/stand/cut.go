package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The disturbance of the case, within what the small deployment names: node_cut with how = "servers" cuts a share of up to 0.35 of the
// servers off from all machines, for up to 12 s. Here it is one model server of five, for a moment each time.
const (
	cutServers   = 5
	cutEvery     = 8 * time.Second
	minCut       = 1150 * time.Millisecond
	maxCut       = 1300 * time.Millisecond
	cutTraffic   = 80 * time.Second
	captionsPerS = 12
	captionTime  = 20 * time.Second
	// longestBeside is how long an earlier server may work on beside a later one.
	longestBeside = 400 * time.Millisecond
	// contactTime is how long nothing must have been disturbed for a machine to count as in touch.
	contactTime = 3 * time.Second
)

// captionTimes are those of the longest streams of the sheet, 184 events, at servers of the slower kind.
var captionTimes = modelTimes{first: 200 * time.Millisecond, pause: 28 * time.Millisecond, events: 184}

// captionConfig is the operator's configuration, cut down to one route of streams that may be resumed.
var captionConfig = map[string]any{
	"version": 7,
	"routes": []any{map[string]any{
		"name": "r-caption", "host": "scores.example", "pathPrefix": "/caption/", "routeType": "streaming", "timeoutMs": 20000, "goalMs": 3600, "priority": 2, "service": "pool", "maxAttempts": 2,
		"public": false, "sticky": true, "resumable": true, "gapTargetMs": 500,
	}},
	"services": []any{
		map[string]any{"name": "pool", "healthPath": "/healthz", "maxConns": 610, "engine": map[string]any{"slots": 128, "kvTokenCapacity": 286093, "kvTokenBytes": 131072, "stride": 3}},
	},
	"limits":  config["limits"],
	"tenants": config["tenants"],
}

// cutCase cuts a model server off for a moment while it sends streams.
func cutCase(root string, out *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(root)
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	w := newWorld(d.store, out)
	d.store.putJSON("op", "config", captionConfig)
	// Instead of being cut off, a server may also fall silent.
	silent := os.Getenv("HOW") == "silent"
	var valves []*valve
	for n := range cutServers {
		t, err := w.newTarget("pool", zones[n%len(zones)].name, 128, 268)
		if err != nil {
			return false, err
		}
		defer t.close()
		g, err := newGate(t.address)
		if err != nil {
			return false, err
		}
		defer g.close()
		valves = append(valves, g.valve)
		if silent {
			valves[n] = t.quiet
		}
		t.listed, t.model = g.address(), captionTimes
		t.list()
		out.add("model server %s", t.id)
	}
	startedAt := time.Now()
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(leadTime - time.Since(startedAt))
	trafficAt := time.Now()
	var cuts []cut
	if trouble {
		cuts = drawCuts(trafficAt)
		go playCuts(cuts, valves, out)
	}
	sent, served, other := sendCaptions(d, out, trafficAt)
	for _, one := range d.daemons {
		if !one.running() {
			out.say("%s has ended by itself", one.name)
		}
	}
	out.say("streams: %d sent, %d served whole and in order, %d ended otherwise; cuts: %d", sent, served, other, len(cuts))
	return reportOverlaps(w, out, cuts), nil
}

// cut is a time for which a server is cut off.
type cut struct {
	server   int
	from, to time.Time
}

func drawCuts(startedAt time.Time) []cut {
	random := rand.New(rand.NewPCG(arrivalSeed, 1))
	var cuts []cut
	for at := cutEvery; at < cutTraffic; at += cutEvery {
		from := startedAt.Add(at)
		cuts = append(cuts, cut{len(cuts) % cutServers, from, from.Add(minCut + time.Duration(random.Int64N(int64(maxCut-minCut))))})
	}
	return cuts
}

func playCuts(cuts []cut, valves []*valve, out *record) {
	for _, c := range cuts {
		time.Sleep(time.Until(c.from))
		out.add("model server %d is cut off for %s", c.server+1, c.to.Sub(c.from))
		valves[c.server].shut(time.Until(c.to))
		out.add("model server %d is back", c.server+1)
	}
}

// sendCaptions sends streams at random times, and counts how they end.
func sendCaptions(d *deployment, out *record, startedAt time.Time) (sent, served, other int64) {
	var all sync.WaitGroup
	var whole, rest atomic.Int64
	times, at := rand.New(rand.NewPCG(arrivalSeed, 0)), startedAt
	for time.Since(startedAt) < cutTraffic {
		at = at.Add(time.Duration(times.ExpFloat64() * float64(time.Second) / captionsPerS))
		time.Sleep(time.Until(at))
		sent++
		id, to := fmt.Sprintf("c-%04d", sent), d.daemons[rand.IntN(len(d.daemons))]
		prompt := fmt.Sprintf("5c1e07a2:172,%08x:543", sent)
		all.Add(1)
		go func() {
			defer all.Done()
			out.add("stream %s sent to %s", id, to.name)
			status, body, err := exchange(to.front, captionTime, "/caption/"+id, map[string]string{
				headerID: id, "Authorization": "Bearer key-of-north", headerModel: "m", headerTokens: "715,360", headerPrompts: prompt,
			})
			if err == nil && status == http.StatusOK && body == wholeStream() {
				whole.Add(1)
				out.add("stream %s served whole", id)
				return
			}
			rest.Add(1)
			out.add("stream %s ends with status %d, %d bytes, error %v", id, status, len(body), err)
		}()
	}
	all.Wait()
	return sent, whole.Load(), rest.Load()
}

// wholeStream is what a caller gets of a stream whose events all come once and in order.
func wholeStream() string {
	var b strings.Builder
	for n := 1; n <= captionTimes.events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: text\n\n", n)
	}
	return b.String()
}

// reportOverlaps tells for how long servers worked on streams that another one had begun to answer, and reports whether any did so for
// longer than the rule allows, by machines that had been in touch and reached both for all of contactTime.
func reportOverlaps(w *world, out *record, cuts []cut) (broken bool) {
	count, inTouch, longest := 0, 0, time.Duration(0)
	for _, o := range w.runs.overlaps() {
		took := o.endsAt.Sub(o.begunAt)
		out.add("stream %s: %s makes its first event %s after it took the request, from event %d on; %s works on for %s", o.request, o.second.target, o.begunAt.Sub(o.second.acceptedAt), o.second.after, o.first.target, took)
		if took <= longestBeside {
			continue
		}
		count++
		longest = max(longest, took)
		// The machine must have been in touch from before the last longestBeside of the overlap on.
		if !undisturbed(cuts, o.endsAt.Add(-longestBeside)) {
			continue
		}
		inTouch++
		out.add("BROKEN: stream %s runs at %s and %s for %s, until %s after the last cut", o.request, o.first.target, o.second.target, took, sinceCut(cuts, o.endsAt))
	}
	out.say("streams that two servers worked on for over %s after the first event of the second: %d, the longest for %s", longestBeside, count, longest)
	out.say("of these, worked on by both for another %s after nothing had been cut off for %s: %d", longestBeside, contactTime, inTouch)
	return inTouch > 0
}

// sinceCut returns how long nothing has been cut off at a moment; 0 if something is.
func sinceCut(cuts []cut, at time.Time) time.Duration {
	since := time.Hour
	for _, c := range cuts {
		if c.from.Before(at) {
			since = min(since, max(0, at.Sub(c.to)))
		}
	}
	return since
}

// undisturbed reports whether nothing was cut off for contactTime before a moment.
func undisturbed(cuts []cut, at time.Time) bool { return sinceCut(cuts, at) > contactTime }
