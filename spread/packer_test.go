package spread

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"emberlead/proto"
)

// document returns a list of entries, each with a text that follows from its number and its edition.
func document(entries map[int]int) []byte {
	var out bytes.Buffer
	out.WriteString(`{"list":[`)
	for i := range 4000 {
		if edition, ok := entries[i]; ok {
			random := rand.New(rand.NewPCG(uint64(i), uint64(edition)))
			fmt.Fprintf(&out, `{"name":"r-%x","host":"%x.example","note":"%x"},`, random.Uint64(), random.Uint64(), random.Uint64())
		}
	}
	out.WriteString(`{}]}`)
	return out.Bytes()
}

// TestDaemonsReceiveWhatTheyLack guards against whole documents being sent for small changes: 200 seeds of daemons that missed any number
// of versions must get exactly the newest one, and in about as many bytes as have changed.
func TestDaemonsReceiveWhatTheyLack(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		entries := map[int]int{}
		for i := range 300 {
			entries[i] = 0
		}
		var p Packer
		held := document(entries)
		p.Set(held)
		for range 12 {
			changed := random.IntN(6)
			for range changed {
				if n := random.IntN(320); random.IntN(3) == 0 {
					delete(entries, n)
				} else {
					entries[n]++
				}
			}
			newest := document(entries)
			p.Set(newest)
			if random.IntN(3) == 0 {
				continue // The daemon misses this version.
			}
			packed, err := p.Pack(Digest(held))
			if err != nil {
				t.Fatal(err)
			}
			whole, err := p.Pack(0)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Unpack(packed, held)
			if err != nil || !bytes.Equal(got, newest) {
				t.Fatalf("seed %d: %v, equal %t", seed, err, bytes.Equal(got, newest))
			}
			if known := packed.Base != 0; known && len(packed.Parts) > len(whole.Parts)/4 {
				t.Errorf("seed %d: %d bytes for at most %d changed entries, and %d for all", seed, len(packed.Parts), 18, len(whole.Parts))
			}
			held = newest
		}
		if packed, err := p.Pack(Digest([]byte("unknown"))); err != nil || packed.Base != 0 {
			t.Errorf("seed %d: differences to an unknown document: %v", seed, err)
		}
	}
}

// TestNothingIsPackedBeforeTheFirstVersion guards against a daemon that ends when another one asks it for a document that it does not have yet.
func TestNothingIsPackedBeforeTheFirstVersion(t *testing.T) {
	var p Packer
	if packed, err := p.Pack(0); err != nil || len(packed.Parts) > 0 {
		t.Errorf("packed %+v, %v", packed, err)
	}
}

// TestDifferencesToAnotherDocumentAreRejected guards against a document that no daemon ever had.
func TestDifferencesToAnotherDocumentAreRejected(t *testing.T) {
	var p Packer
	first, second := document(map[int]int{1: 0, 2: 0}), document(map[int]int{1: 0, 2: 1})
	p.Set(first)
	p.Set(second)
	packed, err := p.Pack(Digest(first))
	if err != nil || packed.Base == 0 {
		t.Fatalf("%+v, %v", packed, err)
	}
	if _, err := Unpack(packed, second); proto.KindOf(err) != proto.KindMismatch {
		t.Errorf("another base: %v", err)
	}
	packed.Digest++
	if _, err := Unpack(packed, first); proto.KindOf(err) != proto.KindMismatch {
		t.Errorf("another digest: %v", err)
	}
	packed.Base, packed.Digest = 0, Digest(first)
	if _, err := Unpack(packed, nil); proto.KindOf(err) != proto.KindInvalid {
		t.Errorf("no base: %v", err)
	}
}
