package proto

import "fmt"

// RequestDigest names a request by caller, method, host, path and body, so that it is the same under each id that the
// request comes with, at each daemon.
type RequestDigest uint64

// String returns the digest as the log shows it.
func (d RequestDigest) String() string { return fmt.Sprintf("%016x", uint64(d)) }
