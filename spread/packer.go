package spread

import (
	"bytes"

	"github.com/cespare/xxhash/v2"

	"emberlead/proto"
)

const (
	// maxBases is the number of earlier versions to which differences can be made.
	maxBases = 3
	// maxBaseBytes limits how much memory they take, in bytes.
	maxBaseBytes = 8 << 20
)

// Packer packs the newest version of a document for other daemons. Each form of it is made once, when it is first needed, whatever the
// number of daemons that ask for it.
type Packer struct {
	document []byte
	digest   uint64
	// bases holds earlier versions, the newest first.
	bases []version
	// packed holds the forms that were made, by their base.
	packed map[uint64]proto.PackedDocument
}

// version is an earlier version of the document.
type version struct {
	document []byte
	digest   uint64
}

// Set replaces the document by a newer version. It must not be changed afterwards.
func (p *Packer) Set(document []byte) {
	digest := Digest(document)
	if digest == p.digest {
		return
	}
	if p.digest != 0 {
		p.bases = append([]version{{p.document, p.digest}}, p.bases...)
	}
	p.document, p.digest, p.packed = document, digest, map[uint64]proto.PackedDocument{}
	size := 0
	for i, base := range p.bases {
		if size += len(base.document); i >= maxBases || size > maxBaseBytes {
			p.bases = p.bases[:i]
			return
		}
	}
}

// Document returns the newest version and its digest.
func (p *Packer) Document() (document []byte, digest uint64) { return p.document, p.digest }

// Pack returns the newest version for a daemon that has the version with a digest: as differences if that version is known, or whole. It
// returns none before the first version is set.
func (p *Packer) Pack(base uint64) (proto.PackedDocument, error) {
	if p.packed == nil {
		return proto.PackedDocument{}, nil
	}
	var known []byte
	for _, b := range p.bases {
		if b.digest == base {
			known = b.document
		}
	}
	if known == nil {
		base = 0
	}
	if packed, ok := p.packed[base]; ok {
		return packed, nil
	}
	data, err := proto.PackParts(differences(known, p.document))
	if err != nil {
		return proto.PackedDocument{}, err
	}
	packed := proto.PackedDocument{Base: base, Digest: p.digest, Parts: data}
	p.packed[base] = packed
	return packed, nil
}

// differences returns a document as parts of another one and bytes of its own.
func differences(base, document []byte) []proto.DocumentPart {
	known := map[uint64]span{}
	for s := range blocks(base) {
		known[xxhash.Sum64(s.of(base))] = s
	}
	var parts []proto.DocumentPart
	own := span{}
	flush := func() {
		if own.length > 0 {
			parts = append(parts, proto.DocumentPart{Bytes: own.of(document)})
		}
	}
	for s := range blocks(document) {
		b, ok := known[xxhash.Sum64(s.of(document))]
		if !ok || !bytes.Equal(b.of(base), s.of(document)) {
			own.length += s.length
			continue
		}
		flush()
		own = span{offset: s.offset + s.length}
		if last := len(parts) - 1; last >= 0 && parts[last].Length > 0 && parts[last].Offset+parts[last].Length == b.offset {
			parts[last].Length += b.length
			continue
		}
		parts = append(parts, proto.DocumentPart{Offset: b.offset, Length: b.length})
	}
	flush()
	return parts
}

// Unpack returns a packed document, given the one that the receiver has. It fails with KindMismatch if that is not the base of the packed
// one, or if the result is not what the sender has, and with KindInvalid.
func Unpack(packed proto.PackedDocument, base []byte) ([]byte, error) {
	const op = "unpack document"
	if packed.Base != 0 && packed.Base != Digest(base) {
		return nil, newError(op, proto.KindMismatch, "the differences are to another document than the one in use")
	}
	parts, err := proto.UnpackParts(packed.Parts)
	if err != nil {
		return nil, err
	}
	size := 0
	for _, part := range parts {
		if part.Offset < 0 || part.Length < 0 || part.Length > len(base)-part.Offset {
			return nil, newError(op, proto.KindInvalid, "a part from %d of %d bytes is not within a document of %d", part.Offset, part.Length, len(base))
		}
		if size += part.Length + len(part.Bytes); size > proto.MaxMessageSize {
			return nil, newError(op, proto.KindTooLarge, "a document of more than %d bytes", proto.MaxMessageSize)
		}
	}
	document := make([]byte, 0, size)
	for _, part := range parts {
		document = append(document, part.Bytes...)
		document = append(document, base[part.Offset:part.Offset+part.Length]...)
	}
	if Digest(document) != packed.Digest {
		return nil, newError(op, proto.KindMismatch, "the document has another digest than the sender's")
	}
	return document, nil
}
