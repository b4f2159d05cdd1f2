package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	routeHost = "pule25.example"
	// dialTimeout is how long a new connection may take to come up.
	dialTimeout = time.Second
)

// connection is a connection of a client.
type connection struct {
	net.Conn
	reader *bufio.Reader
	daemon *daemon
}

// openConnection opens a connection to a daemon; nil if none comes up.
func openConnection(d *daemon) *connection {
	conn, err := net.DialTimeout("tcp4", d.front, dialTimeout)
	if err != nil {
		return nil
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn), daemon: d}
}

// answer is what came of a request: the status and the stamp of a whole answer, or why there is none.
type answer struct {
	status int
	stamp  string
	close  bool
	err    error
}

// request is what a client sends.
type request struct {
	method, path, id, key string
	deadline              time.Duration
}

// send sends a request and reads its answer.
func (c *connection) send(r request) answer {
	text := fmt.Sprintf("%s %sitem HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n", r.method, r.path, routeHost, headerAttempt, r.id, headerDeadline, r.deadline.Milliseconds(), r.key)
	if r.method == http.MethodPost {
		text += "Content-Length: 3\r\n\r\nabc"
	} else {
		text += "\r\n"
	}
	if _, err := io.WriteString(c, text); err != nil {
		return answer{err: err}
	}
	_ = c.SetReadDeadline(time.Now().Add(r.deadline + time.Second))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return answer{err: err}
	}
	_ = c.SetReadDeadline(time.Time{})
	return answer{status: resp.StatusCode, stamp: resp.Header.Get(headerStamp), close: resp.Close}
}
