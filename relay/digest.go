package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"io"

	"emberlead/proto"
)

// requestDigest identifies a request by what does not change when its caller sends it again under another id: caller,
// method, host, path, query and body. Headers are excluded, because a resumed stream names another event. The caller is
// identified by the workspace, whose name stays the same when its keys change. The hash is cryptographic, so that
// nobody can craft a request that is mistaken for another caller's.
func requestDigest(r *Request, workspace string) proto.RequestDigest {
	h := sha256.New()
	for _, part := range []string{workspace, r.Method, r.Host, r.URI} {
		// Writing to a hash never fails.
		_ = binary.Write(h, binary.BigEndian, uint64(len(part)))
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(r.Body)
	return proto.RequestDigest(binary.BigEndian.Uint64(h.Sum(nil)))
}
