package proto

// DocumentPart is a part of a document: bytes of its own, or a range of another document.
type DocumentPart struct {
	Bytes  []byte `cbor:"1,keyasint,omitempty"`
	Offset int    `cbor:"2,keyasint,omitempty"`
	Length int    `cbor:"3,keyasint,omitempty"`
}

// PackedDocument is a compressed document, either whole or as its differences to one that the receiver has.
type PackedDocument struct {
	// Base is the digest of the document that the parts refer to; 0 if they refer to none.
	Base uint64 `cbor:"1,keyasint,omitempty"`
	// Digest is the digest of the document itself.
	Digest uint64 `cbor:"2,keyasint,omitempty"`
	// Parts holds the compressed parts of the document, in order.
	Parts []byte `cbor:"3,keyasint,omitempty"`
}

// PackParts compresses parts; it fails with KindInvalid.
func PackParts(parts []DocumentPart) ([]byte, error) {
	body, err := encMode.Marshal(parts)
	if err != nil {
		return nil, &Error{Op: "pack document", Kind: KindInvalid, Err: err}
	}
	return compress(body)
}

// UnpackParts returns what was packed; it fails with KindInvalid.
func UnpackParts(packed []byte) ([]DocumentPart, error) {
	body, err := decompress(packed)
	if err != nil {
		return nil, err
	}
	var parts []DocumentPart
	if err := decMode.Unmarshal(body, &parts); err != nil {
		return nil, &Error{Op: "unpack document", Kind: KindInvalid, Err: err}
	}
	return parts, nil
}
