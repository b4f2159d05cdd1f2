package entry

import (
	"fmt"
	"time"
)

// traceAfter is how long after the request a newer configuration on its daemon is taken into account.
const traceAfter = 10 * time.Second

const messageInForce = "configuration in force"

// configTrace holds what the logs say about the configuration that a request was handled with.
type configTrace struct {
	version float64
	// elsewhere is the first line of another daemon that had a newer configuration in force when the request arrived;
	// later is the line of the request's own daemon that put a newer one in force. Each is nil if there is none.
	elsewhere, later *logLine
	came             time.Time
	store            []logLine
}

// newConfigTrace searches the lines of all daemons, sorted by time, given the first and last line of a request.
func newConfigTrace(first, last *logLine, lines []logLine) configTrace {
	c := configTrace{version: last.number("routing"), came: first.At}
	for i := range lines {
		l := &lines[i]
		own := l.VM == last.VM
		if own && l.text("table") != "" && l.At.After(first.At.Add(-traceBefore)) && l.At.Before(last.At.Add(traceAfter)) {
			c.store = append(c.store, *l)
		}
		if l.Message != messageInForce || l.number("version") <= c.version {
			continue
		}
		switch {
		case !own && c.elsewhere == nil && !l.At.After(c.came):
			c.elsewhere = l
		case own && c.later == nil && l.At.After(c.came) && l.At.Before(last.At.Add(traceAfter)):
			c.later = l
		}
	}
	return c
}

// cause says how far the configuration was behind, if another daemon had a newer one in force when the request arrived
// or the request's daemon was out of touch with the store.
func (c *configTrace) cause() string {
	switch {
	case c.version == 0:
		return ""
	case c.elsewhere != nil:
		text := fmt.Sprintf(" It was answered by configuration %.0f, and %s had %.0f in force since %s before.",
			c.version, c.elsewhere.VM, c.elsewhere.number("version"), c.came.Sub(c.elsewhere.At))
		if c.later != nil {
			text += fmt.Sprintf(" %s had a newer one %s later.", c.later.VM, c.later.At.Sub(c.came))
		}
		return text
	case c.later != nil && c.outOfTouch():
		return fmt.Sprintf(" It was answered by configuration %.0f while %s was out of touch with the store, and a newer one was in force there %s later.",
			c.version, c.later.VM, c.later.At.Sub(c.came))
	}
	return ""
}

// outOfTouch reports whether the store's configuration table did not respond to the daemon at some time between the
// request and the newer configuration.
func (c *configTrace) outOfTouch() bool {
	out := false
	for i := range c.store {
		l := &c.store[i]
		if l.text("table") != "routing" {
			continue
		}
		if l.At.After(c.later.At) {
			break
		}
		if out && l.At.After(c.came) {
			return true
		}
		out = l.Level == "warn"
	}
	return out
}
