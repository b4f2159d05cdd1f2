package proto

import (
	"testing"
	"time"
)

// FuzzDecode decodes arbitrary bytes, as a peer might send them. Whatever decodes must be a message that can be encoded
// and decoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		Heartbeat{Incarnation: 7, Routing: 3, Targets: Revision{Era: 1, Version: 9}},
		PiecesAsk{Pool: "p", RequestID: "r", Pieces: 2, Inputs: []string{"h"}, DueIn: time.Second, Shard: 1},
		PiecesAnswer{Outcome: PiecesDone, Handles: []string{"h"}, InputsFreed: true},
		PiecesDrop{Pool: "p", Handles: []string{"h"}, Shard: 2},
		PlaceAsk{Pool: "p", SharedParts: []PromptPart{{ID: "a", Tokens: 5}}},
		PermitAsk{Pool: "p", Notice: TargetNotice{Target: "t", Run: "t@7", Limit: 0.5, HasLimit: true, LimitVersion: 3}},
		TargetNotices{Notices: []TargetNotice{{Target: "t", Run: "t", Leaving: true}}},
		Alarm{Subject: "vm-1", Reporter: "vm-2", Sequence: 4, Silent: true},
	} {
		data, err := Encode(m, 1, false, "")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{})
	f.Add([]byte{0xbf, 0x01, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		env, m, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(m, env.Call, env.Answer, env.Trace)
		if err != nil {
			t.Fatalf("%T was decoded but cannot be encoded: %v", m, err)
		}
		if _, _, err := Decode(again); err != nil {
			t.Errorf("%T was encoded but cannot be decoded: %v", m, err)
		}
	})
}
