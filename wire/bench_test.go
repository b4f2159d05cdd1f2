package wire

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/coord"
	"emberlead/core"
	"emberlead/proto"
)

// grantAllClaims grants every claim, for requests without an idempotency key.
type grantAllClaims struct{}

func (grantAllClaims) Claim(context.Context, proto.Key, uint64, proto.RequestID) (coord.Decision, []byte) {
	return coord.DecisionGranted, nil
}
func (grantAllClaims) Settle(proto.Key, proto.RequestID, bool, []byte) {}
func (grantAllClaims) Reachable(proto.Key) bool                        { return true }

type alwaysReady struct{}

func (alwaysReady) Ready() (bool, string)   { return true, "" }
func (alwaysReady) Accepts() *proto.Failure { return nil }

const benchToken = "token "

// streamTarget answers every attempt with a stream of the given number of tokens, one per chunk.
func streamTarget(tokens int, token string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get(proto.HeaderAttempt)
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", mimeEvents)
		for i := range tokens {
			fmt.Fprintf(w, "event: chunk\ndata: {\"attempt\":%q,\"offset\":%d,\"text\":%q,\"tokens\":1}\n\n", attempt, i, token)
			w.(http.Flusher).Flush()
		}
		fmt.Fprintf(w, "event: done\ndata: {\"attempt\":%q,\"tokens\":%d,\"busy\":\"1ms\"}\n\n", attempt, tokens)
	})
}

// newBenchFrontend returns the frontend of a daemon with one streaming target.
func newBenchFrontend(tb testing.TB, tokens int) *httptest.Server {
	tb.Helper()
	front, _ := newTestFrontend(tb, streamTarget(tokens, benchToken), tokens, time.Minute)
	return front
}

func newTestFrontend(tb testing.TB, handler http.Handler, tokens int, writeTimeout time.Duration) (*httptest.Server, *core.Engine) {
	tb.Helper()
	target := httptest.NewServer(handler)
	tb.Cleanup(target.Close)
	sum := sha256.Sum256([]byte("key"))
	file := &proto.File{
		Kind: proto.FileKindDeployment, Name: "bench",
		Workspaces: []proto.Workspace{{Name: "w", Weight: 1, KeyHashes: []string{hex.EncodeToString(sum[:])}}},
		Pools: []proto.Pool{{Name: "generate", Kind: proto.PoolEngine, Targets: []proto.Target{{
			Name: "t", Zone: "r/a", VM: "v", Slots: 64, Address: netip.MustParseAddrPort(strings.TrimPrefix(target.URL, "http://")),
		}}}},
		Services: []proto.Service{{Name: "s", Deadline: proto.Duration(time.Minute), Stages: []proto.Stage{{Name: "generate", Pool: "generate", Stream: true, MaxTokens: tokens}}}},
	}
	engine := core.New()
	engine.Configure(proto.EmptySnapshot().WithFile(1, file), time.Now(), 0)
	log := hclog.NewNullLogger()
	driver := NewDriver(engine, clockwork.NewRealClock(), NewTargetClient(), grantAllClaims{}, log, 1<<20, nil)
	limits := FrontendLimits{MaxBodyBytes: 1 << 20, MaxOpenRequests: 1000, MaxBufferedBytes: 1 << 20, ReadTimeout: time.Minute, WriteTimeout: writeTimeout}
	front := httptest.NewServer(NewFrontend(driver, engine, clockwork.NewRealClock(), log, limits, alwaysReady{}, 1).Handler())
	tb.Cleanup(front.Close)
	return front, engine
}

func sendStreamRequest(tb testing.TB, front *httptest.Server) int64 {
	tb.Helper()
	req, err := http.NewRequest(http.MethodPost, front.URL+"/v1/workspaces/w/services/s/requests", bytes.NewReader([]byte("{}")))
	if err != nil {
		tb.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Accept", mimeEvents)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		tb.Fatal(err)
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		tb.Fatal(resp.Status, err)
	}
	return n
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRelay measures a whole streamed request over loopback, with caller, daemon and target in one process. The
// slope over the number of tokens is the cost of one token for all three together.
func BenchmarkRelay(b *testing.B) {
	for _, tokens := range []int{1, 64, 256, 1024} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			front := newBenchFrontend(b, tokens)
			n, calls := int64(0), 0
			startTime := cpuTime(b)
			for b.Loop() {
				n = sendStreamRequest(b, front)
				calls++
			}
			b.ReportMetric(float64(cpuTime(b)-startTime)/float64(calls), "cpu-ns/op")
			b.ReportMetric(float64(n), "callerBytes")
		})
	}
}
