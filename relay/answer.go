package relay

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"emberlead/proto"
)

const routeStream = proto.RouteStream

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// readSize is the size of one read. Events have a few hundred bytes.
	readSize = 8 << 10
	// callerStallTimeout is how long a caller may take nothing at all of its answer before its connection is closed, so that
	// it does not hold memory or a slot of a target for good. It is the longest time of any request, after which no
	// caller waits.
	callerStallTimeout = defaultTimeout
)

// hopHeaders apply to a single connection and are not forwarded.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

func (f *flow) copyHeader(h http.Header) {
	to := f.w.Header()
	for name, values := range h {
		to[name] = values
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
	if f.server.stopping.Load() != nil {
		to.Set("Connection", "close")
	}
	if len(h["Content-Type"]) == 0 {
		// A nil value keeps net/http from guessing a type that the target did not state.
		to["Content-Type"] = nil
	}
}

func (f *flow) forwardResponse(response *bufferedResponse) {
	f.copyHeader(response.header)
	f.w.Header().Set("Content-Length", strconv.Itoa(response.body.size()))
	f.w.WriteHeader(response.status)
	f.committed = true
	if err := f.forwardBody(response.body); err != nil {
		f.logInfo("failed to write the response to the caller", "error", err)
	}
}

// forwardBody writes a body or a part of one to the caller, and releases each chunk once it is written.
func (f *flow) forwardBody(body *answerBody) error {
	uncounted := len(body.chunks) - body.counted
	for i, chunk := range body.chunks {
		if err := f.write(chunk); err != nil {
			return err
		}
		body.chunks[i] = nil
		if i >= uncounted {
			f.answers.release(readSize)
		}
	}
	return nil
}

// write writes to the caller in parts of at most readSize, so that a slow caller has callerStallTimeout for each of them.
func (f *flow) write(data []byte) error {
	for len(data) > 0 {
		f.extendWriteDeadline()
		n, err := f.w.Write(data[:min(len(data), readSize)])
		if err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// extendWriteDeadline gives the caller callerStallTimeout from now to take what is written next. Writes in quick
// succession share a deadline, as setting one costs more than writing a short event.
func (f *flow) extendWriteDeadline() {
	now := f.server.clock.Now()
	if now.Before(f.writeDeadlineSetAt.Add(callerStallTimeout / 4)) {
		return
	}
	f.writeDeadlineSetAt = now
	// Connection deadlines use the system's monotonic clock, which may differ from the daemon's own clock.
	if err := http.NewResponseController(f.w).SetWriteDeadline(time.Now().Add(callerStallTimeout)); err != nil {
		f.server.log.Debug("failed to set the write deadline of a connection", "request", f.req.ID, "error", err)
	}
}

// clearWriteDeadline removes the deadline, since the connection may carry further requests.
func (f *flow) clearWriteDeadline() {
	if f.writeDeadlineSetAt.IsZero() {
		return
	}
	if err := http.NewResponseController(f.w).SetWriteDeadline(time.Time{}); err != nil {
		f.server.log.Debug("failed to clear the write deadline of a connection", "request", f.req.ID, "error", err)
	}
}

// splitEvents splits data after the last blank line; the rest is an incomplete event.
func splitEvents(data []byte) (complete, rest []byte) {
	end := bytes.LastIndex(data, []byte("\n\n"))
	if crlf := bytes.LastIndex(data, []byte("\r\n\r\n")); crlf >= 0 && crlf+2 > end {
		end = crlf + 2
	}
	if end < 0 {
		return nil, data
	}
	return data[:end+2], append([]byte(nil), data[end+2:]...)
}

// forwardEvents writes complete events to the caller, except those that the caller already has from another target.
func (f *flow) forwardEvents(h http.Header, events []byte) error {
	if !f.committed {
		f.copyHeader(h)
		f.w.WriteHeader(http.StatusOK)
		f.committed = true
		f.firstEventAt = f.server.clock.Now()
		f.lastEventAt = f.firstEventAt
	}
	now := f.server.clock.Now()
	f.longestPause = max(f.longestPause, now.Sub(f.lastEventAt))
	f.lastEventAt = now
	for len(events) > 0 {
		event, rest := firstEvent(events)
		id, ok := eventID(event)
		if !ok || id > f.lastEventID {
			if err := f.write(event); err != nil {
				return err
			}
		}
		if ok {
			f.lastEventID = max(f.lastEventID, id)
		}
		events = rest
	}
	return http.NewResponseController(f.w).Flush()
}

// hasNewEvents reports whether events contain one that the caller does not have yet.
func (f *flow) hasNewEvents(events []byte) bool {
	for len(events) > 0 {
		event, rest := firstEvent(events)
		id, ok := eventID(event)
		if ok && id > f.lastEventID || !ok && hasData(event) {
			return true
		}
		events = rest
	}
	return false
}

// hasData reports whether events contain one that is more than a comment.
func hasData(events []byte) bool {
	return bytes.HasPrefix(events, []byte("data:")) || bytes.Contains(events, []byte("\ndata:"))
}

func firstEvent(events []byte) (event, rest []byte) {
	lf := bytes.Index(events, []byte("\n\n"))
	crlf := bytes.Index(events, []byte("\r\n\r\n"))
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return events[:crlf+4], events[crlf+4:]
	case lf >= 0:
		return events[:lf+2], events[lf+2:]
	}
	return events, nil
}

// eventID returns the id of an event, if it has a numeric one.
func eventID(event []byte) (int, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.Atoi(string(bytes.TrimSpace(value)))
		return id, err == nil
	}
	return 0, false
}
