package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["readers"] = playReaders }

// Bounds of the deployment, as in the settings of the daemons.
const (
	configApply = 2 * time.Second
	drainTime   = 2 * time.Second
	// startLead is how long after the machines traffic starts.
	startLead = 10 * time.Second
)

const (
	keptKey, droppedKey  = "9dnn2ctnfzs989anu6ws", "jnbanfqasnmgkcuyj8pj"
	plainPath, addedPath = "/wuhu344/", "/nuvo21/"
	plainService         = "wuno96b"
	machinesPerZone      = 7
	// workTime is how long runners work on a request, and requestDeadline how long clients wait.
	workTime, requestDeadline = 150 * time.Millisecond, 3 * time.Second
	// awayTime is how long the store turns machines away, and maxAwayShare which part of them at most.
	awayTime, maxAwayShare = 9 * time.Second, 0.33
	// configDelay is how long after that the operator writes the configuration, and drainDelay when a runner says that it is draining.
	configDelay, drainDelay = 500 * time.Millisecond, time.Second
	// drainRest is how long the runner serves on after drainTime.
	drainRest = 2 * time.Second
	// maxTries is how often a moment is looked for at which only the readers watch the store, a second apart.
	maxTries = 15
	// clientPause is the mean pause of a client between an answer and its next request.
	clientPause = 80 * time.Millisecond
)

// readers is a deployment whose store turns away the machines that read it, while its configuration and a runner change.
type readers struct {
	*stage
	leaving *runner
	// version is that of the configuration.
	version int
	// notBound holds the daemons that are turned away, which the rules do not bind.
	notBound []*daemon

	mu                    sync.Mutex
	configAt, drainAt     time.Time
	ended                 bool
	staleConfig, lateWork int
	lost                  int
	senders               map[string]*daemon
}

func playReaders(s *stage) (bool, error) {
	p := &readers{stage: s, version: 7, senders: map[string]*daemon{}}
	p.putConfig([]string{plainPath}, []string{keptKey, droppedKey})
	for i, zone := range []string{"marousi-hall", "piraeus-hall", "marousi-hall"} {
		r, err := s.startRunner(fmt.Sprintf("i-7f3a91c%d", i), plainService, zone, workTime)
		if err != nil {
			return false, err
		}
		p.leaving = r
	}
	var zones []string
	for range machinesPerZone {
		zones = append(zones, "marousi-hall", "piraeus-hall")
	}
	if err := s.startDaemons(zones...); err != nil {
		return false, err
	}
	time.Sleep(startLead)
	var clients sync.WaitGroup
	for i, d := range s.daemons {
		clients.Go(func() { p.client(3*i, d, http.MethodPost, plainPath, keptKey) })
		clients.Go(func() { p.client(3*i+1, d, http.MethodGet, addedPath, keptKey) })
		clients.Go(func() { p.client(3*i+2, d, http.MethodGet, plainPath, droppedKey) })
	}
	time.Sleep(time.Second)
	if err := p.turnAwayReaders(); err != nil {
		return false, err
	}
	p.change()
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	clients.Wait()
	p.judgeDrain()
	s.record.add("case", "handled by an older configuration only: %d requests; arrived at a leaving runner too late: %d; not repeatable and lost: %d", p.staleConfig, p.lateWork, p.lost)
	return p.staleConfig > 0 || p.lateWork > 0, nil
}

// turnAwayReaders has the store turn away the daemons that watch it.
func (p *readers) turnAwayReaders() error {
	var watchers []*daemon
	// A daemon may look silent to others for a moment, and another one then reads in its place. It stops when its watch ends, as it does
	// at the next change. So does a watch whose daemon isn't known, which could not be turned away.
	for tries := 0; ; tries++ {
		watchers = p.store.watchers()
		if n := float64(len(watchers)); n > 0 && n <= maxAwayShare*float64(len(p.daemons)) && !slices.Contains(watchers, nil) {
			break
		}
		if tries == maxTries {
			return fmt.Errorf("%w: %d of %d daemons watch the store", errNotRun, len(watchers), len(p.daemons))
		}
		p.version++
		p.putConfig([]string{plainPath}, []string{keptKey, droppedKey})
		p.leaving.enter(stateReady)
		time.Sleep(time.Second)
	}
	if !p.trouble {
		return nil
	}
	p.notBound = watchers
	p.store.turnAway(watchers...)
	for _, d := range watchers {
		p.record.add("platform", "the store turns %s away with 503", d.name)
	}
	return nil
}

// change has the operator write a configuration and a runner leave, and ends the disturbance of the store.
func (p *readers) change() {
	end := time.After(awayTime)
	time.Sleep(configDelay)
	p.version++
	p.putConfig([]string{plainPath, addedPath}, []string{keptKey})
	p.mu.Lock()
	p.configAt = time.Now()
	p.mu.Unlock()
	time.Sleep(drainDelay - configDelay)
	p.leaving.enter(stateDraining)
	p.mu.Lock()
	p.drainAt = time.Now()
	p.mu.Unlock()
	time.Sleep(drainTime + drainRest)
	p.leaving.end()
	<-end
	p.store.mu.Lock()
	for _, d := range p.daemons {
		p.record.add("store", "calls of %s since the disturbance began: %d, refused: %d", d.name, p.store.calls[d], p.store.refused[d])
	}
	p.store.mu.Unlock()
	p.store.turnAway()
	p.record.add("platform", "the store turns nobody away")
}

func (p *readers) isEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// client sends requests of one kind, by its number, to a daemon, one after the other over a connection that it keeps.
func (p *readers) client(kind int, d *daemon, method, path, key string) {
	var conn *connection
	for i := 0; !p.isEnded(); i++ {
		if conn == nil {
			conn = openConnection(d)
		}
		if conn == nil {
			time.Sleep(clientPause)
			continue
		}
		r := request{method: method, path: path, key: key, deadline: requestDeadline, id: fmt.Sprintf("%04x%012x", kind, i)}
		p.mu.Lock()
		p.senders[r.id] = d
		p.mu.Unlock()
		sentAt := time.Now()
		a := conn.send(r)
		p.judgeAnswer(d, r, sentAt, a)
		if a.err != nil || a.close {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(rand.N(2 * clientPause))
	}
}

// judgeAnswer judges whether a daemon handled a request in a way that only an older configuration allows, and notes what was lost.
func (p *readers) judgeAnswer(d *daemon, r request, sentAt time.Time, a answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.add(d.name, "%s %s key %s.. id %s: status %d stamp %q error %v", r.method, r.path, r.key[:4], r.id, a.status, a.stamp, a.err)
	if slices.Contains(p.notBound, d) {
		return
	}
	if r.method == http.MethodPost && a.status != http.StatusOK {
		p.lost++
		p.record.add("case", "%s gave %d and error %v to %s, which may not be repeated", d.name, a.status, a.err, r.id)
	}
	if p.configAt.IsZero() || sentAt.Sub(p.configAt) <= configApply {
		return
	}
	refusedAdded := r.path == addedPath && (a.status == http.StatusNotFound || a.status == http.StatusUnauthorized)
	ranDropped := r.key == droppedKey && a.status == http.StatusOK
	if refusedAdded || ranDropped {
		p.staleConfig++
		p.record.add("case", "%s is in touch, and handled %s by the old configuration %d ms after the new one was acknowledged", d.name, r.id, sentAt.Sub(p.configAt).Milliseconds())
	}
}

// judgeDrain counts the requests that daemons in touch sent to the leaving runner more than drainTime after its draining was acknowledged.
func (p *readers) judgeDrain() {
	p.leaving.mu.Lock()
	defer p.leaving.mu.Unlock()
	for _, a := range p.leaving.arrivals {
		if d := p.senders[a.id]; a.at.Sub(p.drainAt) > drainTime && !slices.Contains(p.notBound, d) {
			p.lateWork++
			p.record.add("case", "%s from %s, which is in touch, arrived at %s %d ms after its draining was acknowledged", a.id, d.name, p.leaving.id, a.at.Sub(p.drainAt).Milliseconds())
		}
	}
}

// putConfig writes a configuration with routes to the plain service, the first of which may not be repeated by clients that post.
func (p *readers) putConfig(paths, keys []string) {
	var routes []map[string]any
	for _, path := range paths {
		routes = append(routes, map[string]any{
			"name": "r-" + path[1:len(path)-1], "host": routeHost, "pathPrefix": path, "routeType": "non_idempotent", "timeoutMs": requestDeadline.Milliseconds(), "goalMs": 300,
			"priority": 2, "service": plainService, "maxAttempts": 2, "public": false,
		})
	}
	p.store.put("op", "config", map[string]any{
		"version": p.version, "routes": routes,
		"services": []map[string]any{{"name": plainService, "healthPath": "/healthz", "maxConns": 500, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000},
		"tenants":  []map[string]any{{"name": "bozi300", "apiKeys": keys, "priority": 1}},
	})
}
