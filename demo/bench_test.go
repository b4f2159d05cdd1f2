package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"emberlead/examples"
	"emberlead/proto"
	"emberlead/wire"
)

func processTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func linkSum(w *world) wire.LinkCounts {
	var sum wire.LinkCounts
	for _, e := range w.entries {
		c := e.daemon.Links().Counts()
		sum.Sent += c.Sent
		sum.BytesOut += c.BytesOut
		sum.Links += c.Links
	}
	return sum
}

// BenchmarkDaemons runs daemons over real links in one process without requests for some seconds and reports what each
// daemon spends on control traffic. The processor time includes that of the fakes.
func BenchmarkDaemons(b *testing.B) {
	const length = 6 * time.Second
	for _, n := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for b.Loop() {
				data, err := examples.Files.ReadFile("venture.json")
				if err != nil {
					b.Fatal(err)
				}
				var file proto.File
				if err := json.Unmarshal(data, &file); err != nil {
					b.Fatal(err)
				}
				w, err := newWorld(&file, n, 1, hclog.NewNullLogger())
				if err != nil {
					b.Fatal(err)
				}
				if err := w.ready(context.Background()); err != nil {
					b.Fatal(err)
				}
				time.Sleep(3 * time.Second)
				before, began := linkSum(w), processTime(b)
				reads, writes := w.store.Counts()
				time.Sleep(length)
				after, spent := linkSum(w), processTime(b)-began
				readsAfter, writesAfter := w.store.Counts()
				each := float64(n) * length.Seconds()
				b.ReportMetric(float64(after.BytesOut-before.BytesOut)/each, "bytesOut/s")
				b.ReportMetric(float64(after.Sent-before.Sent)/each, "messages/s")
				b.ReportMetric(float64(after.Links)/float64(n), "links")
				b.ReportMetric(100*spent.Seconds()/each, "corePercent")
				b.ReportMetric(float64(readsAfter-reads)/length.Seconds(), "platformReads/s")
				b.ReportMetric(float64(writesAfter-writes)/length.Seconds(), "platformWrites/s")
				w.close()
			}
		})
	}
}
