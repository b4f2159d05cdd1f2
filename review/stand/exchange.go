package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// exchange sends a request over a new connection and reads its answer, until the caller's deadline.
func exchange(address string, deadline time.Duration, path string, header map[string]string) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	until, _ := ctx.Deadline()
	_ = conn.SetDeadline(until)
	request, err := http.NewRequest(http.MethodPost, "http://scores.example"+path, strings.NewReader("a prompt"))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set(headerAtMost, fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	if err := request.Write(conn); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}
