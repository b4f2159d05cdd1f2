package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"slices"

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
	return proto.NewRequestDigest(binary.BigEndian.Uint64(h.Sum(nil)))
}

// partDigests returns the digests of the parts of a prompt that other prompts may share.
func partDigests(parts []proto.PromptPart) []proto.RequestDigest {
	if len(parts) < 2 {
		return nil
	}
	digests := make([]proto.RequestDigest, 0, len(parts)-1)
	for _, part := range parts[:len(parts)-1] {
		sum := sha256.Sum256([]byte(part.ID))
		digests = append(digests, proto.NewPartDigest(binary.BigEndian.Uint64(sum[:])))
	}
	slices.Sort(digests)
	return slices.Compact(digests)
}
