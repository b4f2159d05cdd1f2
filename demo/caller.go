package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"emberlead/core"
	"emberlead/fakes"
	"emberlead/proto"
)

const (
	mostSends  = 4
	resendWait = 150 * time.Millisecond
	callGrace  = 3 * time.Second
	prefixes   = 40
)

type ending int

const (
	endDelivered ending = iota
	endMisdelivered
	endNotRun
	endUnknown
	endBroken
)

// call is one request, as recorded by its caller.
type call struct {
	number    int
	workspace string
	service   *proto.Service
	nonce     string
	key       proto.Key
	prefix    string
	stream    bool
	sent      time.Time
}

// ledger records the outcomes of all requests, as seen by their callers.
type ledger struct {
	mu        sync.Mutex
	report    Report
	latency   *hdrhistogram.Histogram
	asked     map[string]int
	onTime    map[string]int
	notRun    map[string]bool // nonces of requests whose every response was a refusal as not run
	maxAtOnce map[string]bool // "service/stage nonce" of stages that must run at most once
}

func newLedger() *ledger {
	return &ledger{
		latency: hdrhistogram.New(1, int64(10*time.Minute), 3),
		asked:   map[string]int{}, onTime: map[string]int{}, notRun: map[string]bool{}, maxAtOnce: map[string]bool{},
	}
}

// callers sends requests through the daemons that the load balancer considers ready, as the deployment's callers would.
type callers struct {
	file     *proto.File
	balancer *balancer
	client   *http.Client
	ledger   *ledger
	random   *rand.Rand
	pools    map[string]proto.PoolKind
	group    sync.WaitGroup
}

func newCallers(file *proto.File, b *balancer, seed uint64) *callers {
	c := &callers{
		file: file, balancer: b, ledger: newLedger(), random: rand.New(rand.NewPCG(seed, 7)), pools: map[string]proto.PoolKind{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	for _, pool := range file.Pools {
		c.pools[pool.Name] = pool.Kind
	}
	return c
}

// next generates a random request; the first workspaces of the file get the most requests.
func (c *callers) next(number int) *call {
	service := &c.file.Services[c.random.IntN(len(c.file.Services))]
	workspace := c.file.Workspaces[min(c.random.IntN(len(c.file.Workspaces)), c.random.IntN(len(c.file.Workspaces)))]
	k := &call{
		number: number, workspace: workspace.Name, service: service, nonce: fmt.Sprintf("n%d", number),
		prefix: fmt.Sprintf("%s-%d", service.Name, c.random.IntN(prefixes)), stream: c.random.IntN(2) == 0,
	}
	var random [10]byte
	for i := range random {
		random[i] = byte(c.random.Uint32())
	}
	if !service.MayRepeat() {
		k.key = proto.KeyAt(time.Now(), random)
	}
	return k
}

// start sends a request in a new goroutine.
func (c *callers) start(ctx context.Context, k *call) {
	c.ledger.began(k, c.pools)
	c.group.Go(func() {
		k.sent = time.Now()
		end := c.send(ctx, k)
		c.ledger.ended(k, end, time.Since(k.sent))
	})
}

// send makes up to mostSends attempts, each through another daemon. It repeats requests that were not run, whose
// connection broke, or that may have run: the latter is safe, since requests of services that may not be repeated carry
// an idempotency key.
func (c *callers) send(ctx context.Context, k *call) ending {
	deadline := k.sent.Add(k.service.Deadline.Std())
	end := endBroken
	notRun := true
	for try := range mostSends {
		if try > 0 {
			c.ledger.resent()
		}
		end = c.once(ctx, k, deadline)
		notRun = notRun && end == endNotRun
		if end == endDelivered || end == endMisdelivered {
			return end
		}
		if wait := time.Now().Add(resendWait); wait.After(deadline) && end != endBroken {
			break
		}
		time.Sleep(resendWait)
	}
	if end == endNotRun && !notRun {
		return endUnknown
	}
	return end
}

func (c *callers) once(ctx context.Context, k *call, deadline time.Time) ending {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(callGrace))
	defer cancel()
	body := fmt.Sprintf(`{"nonce":%q,"prefix":%q,"prompt":"request %d"}`, k.nonce, k.prefix, k.number)
	url := fmt.Sprintf("http://%s/v1/workspaces/%s/services/%s/requests", c.balancer.pick(), k.workspace, k.service.Name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return endBroken
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer demo-key-"+k.workspace)
	if left := time.Until(deadline); left > 0 {
		req.Header.Set(proto.HeaderTimeout, left.String())
	}
	if k.key != (proto.Key{}) {
		req.Header.Set(proto.HeaderKey, k.key.String())
	}
	if k.stream {
		req.Header.Set("Accept", "text/event-stream")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return endBroken
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readProblem(resp.Body)
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return k.readStream(resp.Body)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return endBroken
	}
	return k.verify(data)
}

func readProblem(body io.Reader) ending {
	var problem proto.Problem
	if json.NewDecoder(body).Decode(&problem) != nil {
		return endBroken
	}
	if problem.Outcome == proto.OutcomeNotRun {
		return endNotRun
	}
	return endUnknown
}

// readStream checks that the chunks follow one another without gaps or duplicates and that the final event holds the
// complete text.
func (k *call) readStream(body io.Reader) ending {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	event, text, next := "", "", 0
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		switch event {
		case "chunk":
			var chunk proto.RunChunk
			if json.Unmarshal([]byte(data), &chunk) != nil || chunk.Offset != next {
				return endMisdelivered
			}
			next += chunk.Tokens
			text += chunk.Text
		case "error":
			return readProblem(strings.NewReader(data))
		case "done":
			if last := k.service.Stages[len(k.service.Stages)-1]; last.Stream && text != fakes.Text(k.nonce, 0, last.MaxTokens) {
				return endMisdelivered
			}
			return k.verify([]byte(data))
		}
	}
	return endBroken
}

// verify checks that an answer is complete and belongs to this request.
func (k *call) verify(data []byte) ending {
	var answer struct {
		Nonce string `json:"nonce"`
		Text  string `json:"text"`
	}
	if json.Unmarshal(data, &answer) != nil {
		return endMisdelivered
	}
	last := k.service.Stages[len(k.service.Stages)-1]
	if last.Stream {
		if answer.Text != fakes.Text(k.nonce, 0, last.MaxTokens) {
			return endMisdelivered
		}
		return endDelivered
	}
	if answer.Nonce != k.nonce {
		return endMisdelivered
	}
	return endDelivered
}

func (l *ledger) began(k *call, pools map[string]proto.PoolKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Sent++
	l.asked[k.workspace]++
	for _, stage := range k.service.Stages {
		if !stage.MayRepeat(pools[stage.Pool], k.service.MayRepeat()) {
			l.maxAtOnce[k.service.Name+"/"+stage.Name+" "+k.nonce] = true
		}
	}
}

func (l *ledger) resent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Resent++
}

func (l *ledger) ended(k *call, end ending, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch end {
	case endDelivered:
		l.report.Delivered++
		_ = l.latency.RecordValue(int64(took))
		if took <= k.service.Deadline.Std() {
			l.report.OnTime++
			l.onTime[k.workspace]++
		} else {
			l.report.Late++
		}
	case endMisdelivered:
		l.report.Misdelivered++
	case endNotRun:
		l.report.RefusedNotRun++
		l.notRun[k.nonce] = true
	case endUnknown:
		l.report.Unknown++
	case endBroken:
		l.report.Lost++
	}
}

// judge completes the report with the runs that the targets recorded.
func (l *ledger) judge(runs map[string]int) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.report
	for key, n := range runs {
		if n > 1 && l.maxAtOnce[key] {
			r.Doubled++
		}
		_, nonce, _ := strings.Cut(key, " ")
		if l.notRun[nonce] {
			r.RanThoughNot++
		}
	}
	r.Attainment = map[string]float64{}
	for workspace, n := range l.asked {
		r.Attainment[workspace] = float64(l.onTime[workspace]) / float64(n)
	}
	r.Latency = core.Summarize(l.latency)
	return r
}
