package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"io"

	"emberlead/proto"
)

// digestOf names a request by what stays the same when its caller sends it again under another id: caller, method, host,
// path and body. Headers do not count, since a stream that is continued names another event. The caller is the workspace,
// which keeps its name when its keys change. The hash is a cryptographic one, so that nobody can make a request that is
// taken for somebody else's.
func digestOf(r *Request, workspace string) proto.RequestDigest {
	h := sha256.New()
	for _, part := range []string{workspace, r.Method, r.Host, r.URI} {
		// A hash takes in any bytes without an error.
		_ = binary.Write(h, binary.BigEndian, uint64(len(part)))
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(r.Body)
	return proto.RequestDigest(binary.BigEndian.Uint64(h.Sum(nil)))
}
