package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["question"] = playQuestion }

const (
	streamPath    = "/leye932/"
	streamService = "yebo69"
	streamRunners = 6
	streamDaemons = 7
	// clientsPerDaemon is how many clients hold a stream at each daemon.
	clientsPerDaemon = 40
	// streamEvents is the number of events of a stream, and eventPause the pause before each.
	streamEvents, eventPause = 60, 100 * time.Millisecond
	streamDeadline           = 20 * time.Second
	// streamTries is how often a client takes a stream up again, and resumePause how long it waits at most before the first time.
	streamTries, resumePause = 3, 200 * time.Millisecond
	// warmTime is how long the clients stream before the process is killed, killTime how long it is down, and restTime how long they go on
	// after that.
	warmTime, killTime, restTime = 8 * time.Second, 3500 * time.Millisecond, 6 * time.Second
	// minTakenUp is the least number of streams from which the rule counts.
	minTakenUp = 12
	bodyBytes  = 710
)

// share counts outcomes.
type share struct{ total, good int }

func (s *share) add(good bool) {
	s.total++
	if good {
		s.good++
	}
}

func (s *share) value() float64 { return float64(s.good) / float64(max(1, s.total)) }

// question is a deployment whose clients ask a question and read its answer as a stream, while one machine is killed.
type question struct {
	*stage
	// same is the part of the requests that are equal.
	same float64

	mu     sync.Mutex
	killed *daemon
	ended  bool
	sent   int
	// begun counts the new streams, and wentOn those that clients took up again, at machines in touch.
	begun, wentOn share
	refusals      map[int]int
}

func playQuestion(s *stage) (bool, error) {
	p := &question{stage: s, same: 1, refusals: map[int]int{}}
	if text := os.Getenv("SAME"); text != "" {
		same, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return false, fmt.Errorf("%w: SAME is no number", errNotRun)
		}
		p.same = same
	}
	s.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-stream", "host": routeHost, "pathPrefix": streamPath, "routeType": "streaming", "resumable": true, "gapTargetMs": 1000, "timeoutMs": streamDeadline.Milliseconds(),
			"goalMs": 4200, "priority": 2, "service": streamService, "maxAttempts": 2, "public": false,
		}},
		"services": []map[string]any{{"name": streamService, "healthPath": "/healthz", "maxConns": 2100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000},
		"tenants":  []map[string]any{{"name": "bozi300", "apiKeys": []string{keptKey}, "priority": 1}},
	})
	var zones []string
	for i := range streamRunners {
		r, err := s.startRunner(fmt.Sprintf("i-5b20c61%d", i), streamService, []string{"marousi-hall", "piraeus-hall"}[i%2], eventPause)
		if err != nil {
			return false, err
		}
		r.events = streamEvents
	}
	for i := range streamDaemons {
		zones = append(zones, []string{"marousi-hall", "piraeus-hall"}[i%2])
	}
	if err := s.startDaemons(zones...); err != nil {
		return false, err
	}
	time.Sleep(startLead)
	var clients sync.WaitGroup
	for i := range streamDaemons * clientsPerDaemon {
		clients.Go(func() { p.client(s.daemons[i%streamDaemons]) })
	}
	time.Sleep(warmTime)
	if s.trouble {
		if err := p.kill(s.daemons[streamDaemons-1]); err != nil {
			return false, err
		}
	} else {
		time.Sleep(killTime)
	}
	time.Sleep(restTime)
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	clients.Wait()
	s.record.add("case", "new streams %+v, taken up again %+v, statuses of those that were refused %v, share of equal requests %g", p.begun, p.wentOn, p.refusals, p.same)
	if p.begun.total == 0 || s.trouble && p.wentOn.total < minTakenUp {
		return false, fmt.Errorf("%w: too few streams", errNotRun)
	}
	return p.wentOn.total >= minTakenUp && p.wentOn.value() < p.begun.value()/2, nil
}

// kill kills the process of a daemon, and starts another one a while later. Clients go to the others from then on.
func (p *question) kill(d *daemon) error {
	p.mu.Lock()
	p.killed = d
	p.mu.Unlock()
	p.record.add("platform", "the process of %s is killed", d.name)
	_ = d.cmd.Process.Kill()
	<-d.exited
	time.Sleep(killTime)
	p.record.add("platform", "the process of %s is started again", d.name)
	return d.start(p.record)
}

// choose returns a daemon for a new connection, another one of the same zone.
func (p *question) choose(other *daemon) *daemon {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if d := p.daemons[rand.IntN(len(p.daemons))]; d != p.killed && d != other && d.zone == other.zone {
			return d
		}
	}
}

// nextID returns the id of a client attempt.
func (p *question) nextID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	return fmt.Sprintf("5e11%012x", p.sent)
}

func (p *question) isEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

func (p *question) isKilled(d *daemon) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed == d
}

// client reads streams one after the other, and takes up again at other daemons those that break off.
func (p *question) client(d *daemon) {
	time.Sleep(rand.N(streamEvents * eventPause))
	for !p.isEnded() {
		if p.isKilled(d) {
			d = p.choose(d)
		}
		body := strings.Repeat("q", bodyBytes)
		if rand.Float64() >= p.same {
			body = fmt.Sprintf("%0*d", bodyBytes, rand.Uint64())
		}
		got := &streamPart{body: body, until: time.Now().Add(streamDeadline)}
		status, pause := p.read(d, got)
		p.mu.Lock()
		if d != p.killed {
			p.begun.add(got.last > 0)
		}
		p.mu.Unlock()
		if got.last == streamEvents || got.last == 0 {
			time.Sleep(pause)
			continue
		}
		p.takeUp(d, got, status)
	}
}

// takeUp takes up a stream again that broke off at a daemon, some times at most.
func (p *question) takeUp(broken *daemon, got *streamPart, status int) {
	p.record.add("client", "the stream that began as %s breaks off after event %d of its answer with %d of %s", got.first, got.last, status, broken.name)
	before, pause := got.last, rand.N(resumePause)
	for try := 0; try < streamTries && got.last == before; try++ {
		time.Sleep(pause)
		status, pause = p.read(p.choose(broken), got)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wentOn.add(got.last > before)
	if got.last == before {
		p.refusals[status]++
		p.record.add("case", "the stream that began as %s does not go on after event %d", got.first, before)
	}
}

// streamPart is what a client has of a stream.
type streamPart struct {
	body  string
	until time.Time
	// first is the id of the client attempt that brought the first event, and last the last event.
	first string
	last  int
}

// read sends a request for the rest of a stream and reads what comes. It returns the status and how long the client waits then.
func (p *question) read(d *daemon, got *streamPart) (status int, pause time.Duration) {
	id := p.nextID()
	ctx, cancel := context.WithDeadline(context.Background(), got.until)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front+streamPath+"2f", strings.NewReader(got.body))
	if err != nil {
		return 0, resumePause
	}
	req.Host = routeHost
	req.Header.Set(headerAttempt, id)
	req.Header.Set(headerDeadline, strconv.FormatInt(time.Until(got.until).Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+keptKey)
	if got.last > 0 {
		req.Header.Set(headerLastEvent, strconv.Itoa(got.last))
		req.Header.Set(headerResumes, got.first)
	}
	p.record.add(d.name, "client attempt %s, last event %d, resumes %q", id, got.last, got.first)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		p.record.add(d.name, "client attempt %s: %v", id, err)
		return 0, resumePause
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		text, found := strings.CutPrefix(lines.Text(), "id: ")
		if n, err := strconv.Atoi(text); found && err == nil {
			if got.first == "" {
				got.first = id
			}
			got.last = n
		}
	}
	p.record.add(d.name, "client attempt %s: status %d, last event %d, Retry-After %q", id, resp.StatusCode, got.last, resp.Header.Get("Retry-After"))
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		return resp.StatusCode, min(time.Duration(seconds*float64(time.Second)), time.Until(got.until)/3)
	}
	return resp.StatusCode, 0
}
