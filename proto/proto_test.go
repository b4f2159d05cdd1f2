package proto

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestEncodingRoundTrips(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	properties := gopter.NewProperties(parameters)
	properties.Property("a key contains its creation time", prop.ForAll(func(ms int64, b byte) bool {
		at := time.UnixMilli(ms)
		key := KeyAt(at, [10]byte{b, b, b, b})
		parsed, err := ParseKey(key.String())
		return err == nil && parsed == key && KeyTime(parsed).Equal(at)
	}, gen.Int64Range(0, 1<<47), gen.UInt8()))
	properties.Property("an attempt ID round-trips", prop.ForAll(func(stage, number int) bool {
		id := AttemptID{Request: uuid.New(), Stage: stage, Number: number}
		parsed, err := ParseAttemptID(id.String())
		return err == nil && parsed == id
	}, gen.IntRange(0, 8), gen.IntRange(0, 1000)))
	properties.Property("a load digest caps counts at 255", prop.ForAll(func(running, waiting, slots int) bool {
		rows := []LoadRow{{Pool: "p", Target: "t", Running: running, Waiting: waiting, Slots: slots, Age: time.Second}, {Target: "unknown"}}
		got := UnpackLoads(PackLoads(rows), map[uint32]LoadRow{TargetHash("t"): {Pool: "p", Target: "t"}})
		return len(got) == 1 && got[0].Running == min(255, running) && got[0].Waiting == min(255, waiting) && got[0].Slots == min(255, slots) && got[0].Age == time.Second
	}, gen.IntRange(0, 400), gen.IntRange(0, 400), gen.IntRange(0, 400)))
	properties.Property("arbitrary bytes decode to a message or an error", prop.ForAll(func(data []byte) bool {
		_, m, err := Decode(data)
		return (m == nil) == (err != nil)
	}, gen.SliceOf(gen.UInt8())))
	properties.Property("a message round-trips, and a truncated one is rejected", prop.ForAll(func(generation uint64, body []byte) bool {
		sent := ChangesAnswer{Generation: Generation(generation), Changes: []Change{{Kind: ChangeFile, Body: body, At: time.Unix(1, 2).UTC()}}}
		data, err := Encode(sent, 7, true, "trace")
		if err != nil {
			return false
		}
		env, m, err := Decode(data)
		got, ok := m.(ChangesAnswer)
		if err != nil || !ok || env.Call != 7 || !env.Answer || got.Generation != sent.Generation || !bytes.Equal(got.Changes[0].Body, body) {
			return false
		}
		_, _, err = Decode(data[:len(data)-1])
		return err != nil
	}, gen.UInt64(), gen.SliceOf(gen.UInt8())))
	properties.TestingRun(t)
}

// Files refer to each other, so a changed file must be checked together with all others.
func TestCheckFileAgainstOtherFiles(t *testing.T) {
	body := func(name, workspace, pool, uses string) *File {
		data := fmt.Appendf(nil, `{"kind":"deployment","name":%q,"workspaces":[{"name":%q,"weight":1,"keyHashes":["%064x"]}],
"pools":[{"name":%q,"kind":"encoder","targets":[{"name":"t-%s","address":"127.0.0.1:1","zone":"r/a","vm":"v-%s"}]}],
"services":[{"name":"s-%s","deadline":"1s","stages":[{"name":"one","pool":%q}]}]}`, name, workspace, len(name), pool, pool, pool, name, uses)
		file, faults := ReadFile(data)
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		return file
	}
	first := body("a", "w", "p", "p")
	s := EmptySnapshot().WithFile(1, first)
	scenarios := []struct {
		name   string
		file   *File
		faults int
	}{
		{"uses the pool of another file", body("bb", "w2", "p2", "p"), 0},
		{"declares the workspace of another file", body("bb", "w", "p2", "p2"), 1},
		{"uses an undeclared pool", body("bb", "w2", "p2", "p3"), 1},
		{"replaces itself", body("a", "w", "p", "p"), 0},
	}
	for _, scenario := range scenarios {
		if faults := s.CheckFile(scenario.file); len(faults) != scenario.faults {
			t.Errorf("%s: %v", scenario.name, faults)
		}
	}
	two := s.WithFile(2, body("bb", "w2", "p2", "p"))
	if faults := two.CheckFile(body("a", "w", "other", "other")); len(faults) != 1 {
		t.Errorf("removal of a pool that another file uses: %v", faults)
	}
	if empty := two.CheckStop(StopPlan{VM: "v-p"}); len(empty) != 1 || empty[0] != "p" {
		t.Errorf("stop of the last target of a pool: %v", empty)
	}
}

// TestCopyAgeMakesHeartbeatsNoLarger guards against heartbeats that grow: each daemon sends some thirty of them a second. The age takes the
// place of two zero fields that they used to carry, which took two bytes each, as a one does.
func TestCopyAgeMakesHeartbeatsNoLarger(t *testing.T) {
	size := func(h Heartbeat) int {
		data, err := Encode(h, 0, false, "")
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	before := size(Heartbeat{Incarnation: 1 << 60, Generation: 1, Roster: 1, Routing: 7})
	for hops := range uint8(9) {
		for age := uint16(1); age < 24; age++ {
			if got := size(Heartbeat{Incarnation: 1 << 60, Routing: 7, CopyAge: age, CopyHops: hops}); got > before {
				t.Fatalf("a heartbeat with the age %d over %d daemons has %d bytes, %d before", age, hops, got, before)
			}
		}
	}
}
