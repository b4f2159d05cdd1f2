package serve

import (
	"slices"

	"emberlead/proto"
)

// documentLog holds the versions of documents in ascending order, so that the documents that changed since a version are found without
// a look at all of them. A version that its document no longer has stays until the log is compacted.
type documentLog struct {
	entries []loggedDocument
}

type loggedDocument struct {
	id      string
	version proto.Revision
}

// compareLogged orders by version alone.
func compareLogged(a, b loggedDocument) int {
	switch {
	case b.version.After(a.version):
		return -1
	case a.version.After(b.version):
		return 1
	}
	return 0
}

// add records the version of a document. Versions mostly ascend, so its place is near the end.
func (l *documentLog) add(doc proto.TargetDocument) {
	i := len(l.entries)
	for i > 0 && l.entries[i-1].version.After(doc.Version) {
		i--
	}
	l.entries = slices.Insert(l.entries, i, loggedDocument{doc.ID, doc.Version})
}

// rebuild replaces the log by the versions of all documents.
func (l *documentLog) rebuild(documents map[string]proto.TargetDocument) {
	l.entries = make([]loggedDocument, 0, len(documents))
	for id, doc := range documents {
		l.entries = append(l.entries, loggedDocument{id, doc.Version})
	}
	slices.SortFunc(l.entries, compareLogged)
}

// compact removes outdated versions once they are as many as the documents.
func (l *documentLog) compact(documents map[string]proto.TargetDocument) {
	if len(l.entries) > 2*len(documents) {
		l.rebuild(documents)
	}
}

// after returns the documents that changed after a version, in order of their versions.
func (l *documentLog) after(version proto.Revision, documents map[string]proto.TargetDocument) []proto.TargetDocument {
	first, _ := slices.BinarySearchFunc(l.entries, loggedDocument{version: version}, func(e, searched loggedDocument) int {
		if e.version.After(searched.version) {
			return 1
		}
		return -1
	})
	var changed []proto.TargetDocument
	for _, e := range l.entries[first:] {
		if doc := documents[e.id]; doc.Version == e.version {
			changed = append(changed, doc)
		}
	}
	return changed
}
