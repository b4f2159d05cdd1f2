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

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func sumLinkCounts(d *deployment) wire.LinkCounts {
	var sum wire.LinkCounts
	for _, e := range d.entries {
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
	const duration = 6 * time.Second
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
				w, err := newDeployment(&file, n, 1, hclog.NewNullLogger())
				if err != nil {
					b.Fatal(err)
				}
				if err := w.waitReady(context.Background()); err != nil {
					b.Fatal(err)
				}
				time.Sleep(3 * time.Second)
				before, cpuBefore := sumLinkCounts(w), cpuTime(b)
				reads, writes := w.store.Counts()
				time.Sleep(duration)
				after, cpuUsed := sumLinkCounts(w), cpuTime(b)-cpuBefore
				readsAfter, writesAfter := w.store.Counts()
				daemonSeconds := float64(n) * duration.Seconds()
				b.ReportMetric(float64(after.BytesOut-before.BytesOut)/daemonSeconds, "bytesOut/s")
				b.ReportMetric(float64(after.Sent-before.Sent)/daemonSeconds, "messages/s")
				b.ReportMetric(float64(after.Links)/float64(n), "links")
				b.ReportMetric(100*cpuUsed.Seconds()/daemonSeconds, "corePercent")
				b.ReportMetric(float64(readsAfter-reads)/duration.Seconds(), "platformReads/s")
				b.ReportMetric(float64(writesAfter-writes)/duration.Seconds(), "platformWrites/s")
				w.close()
			}
		})
	}
}
