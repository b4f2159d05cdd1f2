package entry

import (
	"fmt"
	"time"
)

// newerConfigWindow is how long after the request a newer configuration on its daemon is taken into account.
const newerConfigWindow = 10 * time.Second

const messageInForce = "configuration in force"

// configTrace holds what the logs say about the configuration that a request was handled with.
type configTrace struct {
	version float64
	// newerElsewhere is the first line of another daemon that had a newer configuration in force when the request arrived;
	// newerLocally is the line of the request's own daemon that put a newer one in force. Each is nil if there is none.
	newerElsewhere, newerLocally *logLine
	arrivedAt                    time.Time
	storeLines                   []logLine
}

// newConfigTrace searches the lines of all daemons, sorted by time, given the first and last line of a request.
func newConfigTrace(first, last *logLine, lines []logLine) configTrace {
	c := configTrace{version: last.number("routing"), arrivedAt: first.At}
	for i := range lines {
		l := &lines[i]
		own := l.VM == last.VM
		if own && l.text("table") != "" && l.At.After(first.At.Add(-contextBefore)) && l.At.Before(last.At.Add(newerConfigWindow)) {
			c.storeLines = append(c.storeLines, *l)
		}
		if l.Message != messageInForce || l.number("version") <= c.version {
			continue
		}
		switch {
		case !own && c.newerElsewhere == nil && !l.At.After(c.arrivedAt):
			c.newerElsewhere = l
		case own && c.newerLocally == nil && l.At.After(c.arrivedAt) && l.At.Before(last.At.Add(newerConfigWindow)):
			c.newerLocally = l
		}
	}
	return c
}

// describeStaleness says how far the configuration was behind, if another daemon had a newer one in force when the
// request arrived or the request's daemon was out of touch with the store.
func (c *configTrace) describeStaleness() string {
	switch {
	case c.version == 0:
		return ""
	case c.newerElsewhere != nil:
		text := fmt.Sprintf(" It was answered by configuration %.0f, and %s had %.0f in force since %s before.",
			c.version, c.newerElsewhere.VM, c.newerElsewhere.number("version"), c.arrivedAt.Sub(c.newerElsewhere.At))
		if c.newerLocally != nil {
			text += fmt.Sprintf(" %s had a newer one %s later.", c.newerLocally.VM, c.newerLocally.At.Sub(c.arrivedAt))
		}
		return text
	case c.newerLocally != nil && c.storeUnreachable():
		return fmt.Sprintf(" It was answered by configuration %.0f while %s was out of touch with the store, and a newer one was in force there %s later.",
			c.version, c.newerLocally.VM, c.newerLocally.At.Sub(c.arrivedAt))
	}
	return ""
}

// storeUnreachable reports whether the store's configuration table did not respond to the daemon at some time between
// the request and the newer configuration.
func (c *configTrace) storeUnreachable() bool {
	unreachable := false
	for i := range c.storeLines {
		l := &c.storeLines[i]
		if l.text("table") != "routing" {
			continue
		}
		if l.At.After(c.newerLocally.At) {
			break
		}
		if unreachable && l.At.After(c.arrivedAt) {
			return true
		}
		unreachable = l.Level == "warn"
	}
	return unreachable
}
