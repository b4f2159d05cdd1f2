package proto

import (
	"bytes"
	"compress/flate"
	"fmt"
	"net/netip"
	"reflect"
	"testing"
)

// targetList returns a target list as one daemon sends it to another.
func targetList(targets int) RoutingAnswer {
	a := RoutingAnswer{Targets: Revision{Version: 7}, HasTargets: true, Full: true}
	for i := range targets {
		body := fmt.Sprintf(`{"pool":"pool-%d","endpoint":"10.%d.%d.%d:8080","zone":"hall-%d","release":"v1","places":48,"condition":"fine","count":%d,"warmsInMs":0}`, i%5, i%6, i%200, i%250, i%6, i*7919%1000)
		a.TargetEntries = append(a.TargetEntries, TargetDocument{ID: fmt.Sprintf("i-%08x", uint32(i*2654435761)), Body: []byte(body), Version: Revision{Version: uint64(1000 + i)}})
	}
	return a
}

func TestLongMessagesAreCompressed(t *testing.T) {
	news := News{}
	for i := range 100 {
		news.Alive = append(news.Alive, Alive{VM: VM(fmt.Sprint("vm-", i)), Zone: "r/z", Peer: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: 9, Sequence: uint64(i)})
	}
	for _, m := range []Message{targetList(300), news, Heartbeat{Incarnation: 3, Routing: 4}} {
		data, err := Encode(m, 5, true, "t")
		if err != nil {
			t.Fatal(err)
		}
		plain, err := encMode.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		env, got, err := Decode(data)
		if err != nil || !reflect.DeepEqual(got, m) || env.Call != 5 || !env.Answer {
			t.Fatalf("%T: %v, %+v", m, err, env)
		}
		if len(plain) >= compressMinSize && len(data) > len(plain)/2 {
			t.Errorf("%T: %d bytes, %d uncompressed; want at most half", m, len(data), len(plain))
		}
		if len(plain) < compressMinSize && env.Compressed != nil {
			t.Errorf("%T of %d bytes is compressed, although it is below the minimum size", m, len(plain))
		}
	}
}

// A small compressed message must not expand to more than the maximum message size.
func TestOversizedDecompressedMessageIsRejected(t *testing.T) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	zeros := make([]byte, 1<<20)
	for range MaxMessageSize>>20 + 1 {
		if _, err := w.Write(zeros); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	data, err := encMode.Marshal(Envelope{Kind: MessageNews, Compressed: compressed.Bytes()})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Decode(data); KindOf(err) != KindInvalid {
		t.Errorf("%d compressed bytes: error %v", compressed.Len(), err)
	}
}

func BenchmarkPack(b *testing.B) {
	for _, targets := range []int{150, 3000} {
		list := targetList(targets)
		plain, err := encMode.Marshal(list)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("encode/%d", targets), func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := Encode(list, 1, true, "")
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
			b.ReportMetric(float64(len(plain)), "plainBytes")
		})
		data, err := Encode(list, 1, true, "")
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("decode/%d", targets), func(b *testing.B) {
			for b.Loop() {
				if _, _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
