package serve

import (
	"context"
	"net"
	"testing"
	"time"

	"emberlead/wire"
)

func TestLoadMeter(t *testing.T) {
	traffic := &wire.Traffic{}
	a, b := net.Pipe()
	counted, err := traffic.Dialer(func(context.Context, string, string) (net.Conn, error) { return a, nil })(t.Context(), "tcp4", "")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = b.Read(make([]byte, 64)) }()
	m := newLoadMeter(1, 1000, traffic)
	now := time.Unix(1_000_000, 0)
	if u := m.read(now, 0); u.Processor != 0 || u.Sent != 0 {
		t.Errorf("first reading %+v", u)
	}
	if _, err := counted.Write(make([]byte, 50)); err != nil {
		t.Fatal(err)
	}
	u := m.read(now.Add(100*time.Millisecond), 0)
	if u.Sent != 0.5 || u.Received != 0 || m.latest() != u {
		t.Errorf("reading %+v, want half of the link sent", u)
	}
	if u := m.read(now.Add(time.Second), 0); u.Sent != 0 {
		t.Errorf("bytes are counted twice: %+v", u)
	}
}

func TestDelayQuantile(t *testing.T) {
	buckets, counts := []float64{0, 0.001, 0.01, 0.1}, []uint64{80, 15, 5}
	for quantile, want := range map[float64]float64{0.5: 0, 0.9: 1, 0.99: 10} {
		if got := delayQuantile(buckets, counts, 100, quantile); got != want {
			t.Errorf("quantile %g: %g ms, want %g", quantile, got, want)
		}
	}
}
