package state

import (
	"testing"
	"time"

	"emberlead/proto"
)

func TestClaimStore(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	key := func(n byte, at time.Time) proto.Key { return proto.KeyAt(at, [10]byte{9: n}) }
	claim := func(n int) proto.ClaimID { return proto.ClaimID{Holder: "e", Attempt: n} }
	expect := func(t *testing.T, l *ClaimStore, k proto.Key, fingerprint uint64, try int, want proto.ClaimResult) {
		t.Helper()
		if got, _ := l.Claim(k, fingerprint, claim(try)); got != want {
			t.Fatalf("result %d, want %d", got, want)
		}
	}
	scenarios := map[string]func(t *testing.T, l *ClaimStore){
		"a held key is refused to other claims and granted again to its own": func(t *testing.T, l *ClaimStore) {
			k := key(1, now)
			expect(t, l, k, 7, 1, proto.ClaimGranted)
			expect(t, l, k, 7, 1, proto.ClaimGranted)
			expect(t, l, k, 7, 2, proto.ClaimTaken)
			expect(t, l, k, 8, 2, proto.ClaimMismatch)
		},
		"a released key is granted to others with any input, and not to its own claim": func(t *testing.T, l *ClaimStore) {
			k := key(1, now)
			l.Settle(k, claim(1), true, nil)
			expect(t, l, k, 7, 1, proto.ClaimTaken)
			expect(t, l, k, 7, 2, proto.ClaimGranted)
			l.Settle(k, claim(1), true, nil)
			expect(t, l, k, 7, 3, proto.ClaimTaken)
		},
		"a done key returns its answer": func(t *testing.T, l *ClaimStore) {
			k := key(1, now)
			expect(t, l, k, 7, 1, proto.ClaimGranted)
			l.Settle(k, claim(1), false, []byte("x"))
			if got, answer := l.Claim(k, 7, claim(2)); got != proto.ClaimDone || string(answer) != "x" {
				t.Fatalf("%d %s", got, answer)
			}
		},
		"forgotten keys stay refused after the clock is set back": func(t *testing.T, l *ClaimStore) {
			k := key(1, now)
			expect(t, l, k, 7, 1, proto.ClaimGranted)
			l.Sweep(now.Add(2 * time.Hour))
			l.Sweep(now)
			expect(t, l, k, 7, 2, proto.ClaimTooOld)
			if l.Len() != 0 {
				t.Fatalf("%d records are kept", l.Len())
			}
		},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) { scenario(t, NewClaimStore(time.Hour, 1<<20)) })
	}
}
