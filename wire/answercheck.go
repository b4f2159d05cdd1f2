package wire

import (
	"net/http"

	"emberlead/proto"
)

const (
	// minStatus and maxStatus delimit the status codes that exist (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
)

// NewAnswerClient returns a client that takes only what checkAnswer and checkedConn take for an answer.
func NewAnswerClient(transport *http.Transport) *http.Client {
	if transport.DialContext == nil {
		transport.DialContext = NewDialer(dialTimeout).DialContext
	}
	transport.DialContext = checkEnds(transport.DialContext)
	return &http.Client{Transport: &answerChecker{transport}}
}

// answerChecker checks each answer of a transport.
type answerChecker struct{ *http.Transport }

// RoundTrip sends a request and returns its answer.
func (c *answerChecker) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkAnswer(resp); err != nil {
		_ = resp.Body.Close() // Nothing more of it is of use.
		return nil, err
	}
	return resp, nil
}

// checkAnswer fails if a parsed response is no answer by RFC 9110 and RFC 9112, since the parser is more lenient than they are.
func checkAnswer(resp *http.Response) error {
	switch status := resp.StatusCode; {
	case resp.ProtoMajor != 1 && resp.TLS == nil:
		// Other versions are negotiated by TLS.
		return newError("read answer", proto.KindInvalid, "its version is %q", resp.Proto)
	case status < minStatus, status > maxStatus:
		return newError("read answer", proto.KindInvalid, "%d is no status", status)
	case status == http.StatusSwitchingProtocols && !isUpgrade(resp.Request):
		return newError("read answer", proto.KindInvalid, "it switches to a protocol that was not asked for")
	}
	return nil
}

// isUpgrade reports whether a request asks for another protocol.
func isUpgrade(r *http.Request) bool { return r != nil && r.Header.Get("Upgrade") != "" }
