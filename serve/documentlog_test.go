package serve

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"emberlead/proto"
)

// TestDocumentLogFindsEachChange plays random changes in random order and compares what the log finds with a look at all documents.
func TestDocumentLogFindsEachChange(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		documents := map[string]proto.TargetDocument{}
		var log documentLog
		for i := range 500 {
			doc := proto.TargetDocument{ID: fmt.Sprint("t-", random.IntN(50)), Version: proto.Revision{Version: uint64(max(1, i+1-random.IntN(20)))}}
			known, exists := documents[doc.ID]
			if known.Version.After(doc.Version) {
				continue
			}
			documents[doc.ID] = doc
			if !exists || known.Version != doc.Version {
				log.add(doc)
			}
			log.compact(documents)
			since := proto.Revision{Version: uint64(random.IntN(i + 2))}
			var want, found []string
			for id, d := range documents {
				if d.Version.After(since) {
					want = append(want, id)
				}
			}
			for _, d := range log.after(since, documents) {
				found = append(found, d.ID)
			}
			slices.Sort(want)
			slices.Sort(found)
			if !slices.Equal(found, want) {
				t.Fatalf("seed %d: changed since %s: %v, want %v", seed, since, found, want)
			}
		}
		if len(log.entries) > 2*len(documents) {
			t.Errorf("seed %d: the log has %d versions of %d documents", seed, len(log.entries), len(documents))
		}
	}
}
