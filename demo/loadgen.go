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
	"emberlead/wire"
)

const (
	maxAttempts   = 4
	retryDelay    = 150 * time.Millisecond
	responseGrace = 3 * time.Second
	prefixCount   = 40
)

type outcome int

const (
	outcomeDelivered outcome = iota
	outcomeMisdelivered
	outcomeNotRun
	outcomeUnknown
	outcomeConnectionLost
)

// call is one request, as recorded by its caller.
type call struct {
	number    int
	workspace string
	service   *proto.Service
	nonce     string
	key       proto.Key
	prefix    string
	streamed  bool
	sentAt    time.Time
}

// recorder records the outcomes of all requests, as seen by their callers.
type recorder struct {
	mu         sync.Mutex
	report     Report
	latency    *hdrhistogram.Histogram
	requests   map[string]int
	onTime     map[string]int
	notRun     map[string]bool // nonces of requests whose every response was a refusal as not run
	atMostOnce map[string]bool // "service/stage nonce" of stages that must run at most once
}

func newRecorder() *recorder {
	return &recorder{
		latency:  hdrhistogram.New(1, int64(10*time.Minute), 3),
		requests: map[string]int{}, onTime: map[string]int{}, notRun: map[string]bool{}, atMostOnce: map[string]bool{},
	}
}

// loadGenerator sends requests through the daemons that the load balancer considers ready, as the deployment's callers would.
type loadGenerator struct {
	file      *proto.File
	balancer  *balancer
	client    *http.Client
	recorder  *recorder
	random    *rand.Rand
	poolKinds map[string]proto.PoolKind
	group     sync.WaitGroup
}

func newLoadGenerator(file *proto.File, b *balancer, seed uint64) *loadGenerator {
	c := &loadGenerator{
		file: file, balancer: b, recorder: newRecorder(), random: rand.New(rand.NewPCG(seed, 7)), poolKinds: map[string]proto.PoolKind{},
		client: wire.NewAnswerClient(&http.Transport{MaxIdleConnsPerHost: 256}),
	}
	for _, pool := range file.Pools {
		c.poolKinds[pool.Name] = pool.Kind
	}
	return c
}

// nextCall generates a random request; the first workspaces of the file get the most requests.
func (c *loadGenerator) nextCall(number int) *call {
	service := &c.file.Services[c.random.IntN(len(c.file.Services))]
	workspace := c.file.Workspaces[min(c.random.IntN(len(c.file.Workspaces)), c.random.IntN(len(c.file.Workspaces)))]
	k := &call{
		number: number, workspace: workspace.Name, service: service, nonce: fmt.Sprintf("n%d", number),
		prefix: fmt.Sprintf("%s-%d", service.Name, c.random.IntN(prefixCount)), streamed: c.random.IntN(2) == 0,
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

// startCall sends a request in a new goroutine.
func (c *loadGenerator) startCall(ctx context.Context, k *call) {
	c.recorder.recordStart(k, c.poolKinds)
	c.group.Go(func() {
		k.sentAt = time.Now()
		result := c.sendWithRetries(ctx, k)
		c.recorder.recordEnd(k, result, time.Since(k.sentAt))
	})
}

// sendWithRetries makes up to maxAttempts attempts, each through another daemon. It repeats requests that were not run,
// whose connection broke, or that may have run: the latter is safe, since requests of services that may not be repeated
// carry an idempotency key.
func (c *loadGenerator) sendWithRetries(ctx context.Context, k *call) outcome {
	deadline := k.sentAt.Add(k.service.Deadline.Std())
	result := outcomeConnectionLost
	notRun := true
	for attempt := range maxAttempts {
		if attempt > 0 {
			c.recorder.recordRetry()
		}
		result = c.sendOnce(ctx, k, deadline)
		notRun = notRun && result == outcomeNotRun
		if result == outcomeDelivered || result == outcomeMisdelivered {
			return result
		}
		if nextAttempt := time.Now().Add(retryDelay); nextAttempt.After(deadline) && result != outcomeConnectionLost {
			break
		}
		time.Sleep(retryDelay)
	}
	if result == outcomeNotRun && !notRun {
		return outcomeUnknown
	}
	return result
}

func (c *loadGenerator) sendOnce(ctx context.Context, k *call, deadline time.Time) outcome {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(responseGrace))
	defer cancel()
	body := fmt.Sprintf(`{"nonce":%q,"prefix":%q,"prompt":"request %d"}`, k.nonce, k.prefix, k.number)
	url := fmt.Sprintf("http://%s/v1/workspaces/%s/services/%s/requests", c.balancer.nextAddr(), k.workspace, k.service.Name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return outcomeConnectionLost
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer demo-key-"+k.workspace)
	if remaining := time.Until(deadline); remaining > 0 {
		req.Header.Set(proto.HeaderTimeout, remaining.String())
	}
	if k.key != (proto.Key{}) {
		req.Header.Set(proto.HeaderKey, k.key.String())
	}
	if k.streamed {
		req.Header.Set("Accept", "text/event-stream")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return outcomeConnectionLost
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
		return outcomeConnectionLost
	}
	return k.verify(data)
}

func readProblem(body io.Reader) outcome {
	var problem proto.Problem
	if json.NewDecoder(body).Decode(&problem) != nil {
		return outcomeConnectionLost
	}
	if problem.Outcome == proto.OutcomeNotRun {
		return outcomeNotRun
	}
	return outcomeUnknown
}

// readStream checks that the chunks follow one another without gaps or duplicates and that the final event holds the complete text.
func (k *call) readStream(body io.Reader) outcome {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	event, text, nextOffset := "", "", 0
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
			if json.Unmarshal([]byte(data), &chunk) != nil || chunk.Offset != nextOffset {
				return outcomeMisdelivered
			}
			nextOffset += chunk.Tokens
			text += chunk.Text
		case "error":
			return readProblem(strings.NewReader(data))
		case "done":
			if last := k.service.Stages[len(k.service.Stages)-1]; last.Stream && text != fakes.GeneratedText(k.nonce, 0, last.MaxTokens) {
				return outcomeMisdelivered
			}
			return k.verify([]byte(data))
		}
	}
	return outcomeConnectionLost
}

// verify checks that an answer is complete and belongs to this request.
func (k *call) verify(data []byte) outcome {
	var answer struct {
		Nonce string `json:"nonce"`
		Text  string `json:"text"`
	}
	if json.Unmarshal(data, &answer) != nil {
		return outcomeMisdelivered
	}
	last := k.service.Stages[len(k.service.Stages)-1]
	if last.Stream {
		if answer.Text != fakes.GeneratedText(k.nonce, 0, last.MaxTokens) {
			return outcomeMisdelivered
		}
		return outcomeDelivered
	}
	if answer.Nonce != k.nonce {
		return outcomeMisdelivered
	}
	return outcomeDelivered
}

func (l *recorder) recordStart(k *call, pools map[string]proto.PoolKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Sent++
	l.requests[k.workspace]++
	for _, stage := range k.service.Stages {
		if !stage.MayRepeat(pools[stage.Pool], k.service.MayRepeat()) {
			l.atMostOnce[k.service.Name+"/"+stage.Name+" "+k.nonce] = true
		}
	}
}

func (l *recorder) recordRetry() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Resent++
}

func (l *recorder) recordEnd(k *call, result outcome, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch result {
	case outcomeDelivered:
		l.report.Delivered++
		_ = l.latency.RecordValue(int64(took))
		if took <= k.service.Deadline.Std() {
			l.report.OnTime++
			l.onTime[k.workspace]++
		} else {
			l.report.Late++
		}
	case outcomeMisdelivered:
		l.report.Misdelivered++
	case outcomeNotRun:
		l.report.RefusedNotRun++
		l.notRun[k.nonce] = true
	case outcomeUnknown:
		l.report.Unknown++
	case outcomeConnectionLost:
		l.report.Lost++
	}
}

// finalReport completes the report with the runs that the targets recorded.
func (l *recorder) finalReport(runs map[string]int) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.report
	for key, n := range runs {
		if n > 1 && l.atMostOnce[key] {
			r.Doubled++
		}
		_, nonce, _ := strings.Cut(key, " ")
		if l.notRun[nonce] {
			r.RanAfterRefusal++
		}
	}
	r.Attainment = map[string]float64{}
	for workspace, n := range l.requests {
		r.Attainment[workspace] = float64(l.onTime[workspace]) / float64(n)
	}
	r.Latency = core.Summarize(l.latency)
	return r
}
