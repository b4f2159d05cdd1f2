package spread

import (
	"testing"
	"time"

	"emberlead/proto"
)

// TestSilentDaemonDoesNotHoldUpOthers guards against a daemon that asks one that cannot answer, and passes over all others meanwhile.
func TestSilentDaemonDoesNotHoldUpOthers(t *testing.T) {
	var p Puller
	now := time.Time{}.Add(time.Hour)
	receiving := map[proto.VM]bool{}
	for _, step := range []struct {
		after time.Duration
		from  proto.VM
		ends  proto.VM
		want  bool
	}{
		{from: "dead", want: true},
		{after: HedgeDelay - 1, from: "a", want: false},
		{after: 1, from: "dead", want: false},
		{from: "a", want: true},
		{from: "b", want: false},
		{after: HedgeDelay, from: "b", want: true},
		{after: HedgeDelay, from: "c", want: false}, // Three are asked.
		{ends: "b", from: "c", want: true},
	} {
		now = now.Add(step.after)
		p.End(step.ends)
		if got := p.Start(now, step.from, func() bool { return receiving[step.from] }); got != step.want {
			t.Fatalf("%+v: started %t", step, got)
		}
	}
	p.End("c")
	receiving["a"] = true
	if now = now.Add(HedgeDelay); p.Start(now, "d", func() bool { return false }) {
		t.Error("another daemon is asked while an answer arrives")
	}
}
