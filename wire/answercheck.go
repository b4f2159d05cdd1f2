package wire

import (
	"errors"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"

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
		// Without a body, the connection counts as idle already.
		c.CloseIdleConnections()
		return nil, err
	}
	return resp, nil
}

// checkAnswer fails if a parsed response is no answer by RFC 9110 and RFC 9112, since the parser is more lenient than they are. Its body
// then fails at its end if the trailers are not part of one.
func checkAnswer(resp *http.Response) error {
	switch status := resp.StatusCode; {
	case resp.ProtoMajor != 1 && resp.TLS == nil:
		// Other versions are negotiated by TLS.
		return newError("read answer", proto.KindInvalid, "its version is %q", resp.Proto)
	case resp.ProtoMajor == 1 && resp.ProtoMinor == 0 && len(resp.TransferEncoding) > 0:
		return newError("read answer", proto.KindInvalid, "%s has no transfer codings", resp.Proto)
	case status < minStatus, status > maxStatus:
		return newError("read answer", proto.KindInvalid, "%d is no status", status)
	case status == http.StatusSwitchingProtocols && !isUpgrade(resp.Request):
		return newError("read answer", proto.KindInvalid, "it switches to a protocol that was not asked for")
	}
	if err := checkFieldNames(resp.Header); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		resp.Body = &checkedBody{resp.Body, resp}
	}
	return nil
}

// checkFieldNames fails if the name of a header or trailer field is not a token (RFC 9112, section 5.1). The parser keeps names with
// blanks, and then ignores what the fields say of the length of the body.
func checkFieldNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return newError("read answer", proto.KindInvalid, "%q is no field name", name)
		}
	}
	return nil
}

// checkedBody is the body of an answer whose trailers are checked.
type checkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read reads the body.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := checkFieldNames(b.resp.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}

// readAnswer reads a body, which must not have more bytes than the limit.
func readAnswer(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = newError("read answer", proto.KindTooLarge, "it has more than %d bytes", limit)
	}
	return data, err
}

// isUpgrade reports whether a request asks for another protocol.
func isUpgrade(r *http.Request) bool { return r != nil && r.Header.Get("Upgrade") != "" }
