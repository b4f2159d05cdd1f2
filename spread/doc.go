// Package spread decides how a large document, such as the configuration, passes from daemon to daemon: what of it is sent to a daemon
// that has an earlier version, and which daemons are asked at a time.
//
// It has no clock, network, goroutines or locks of its own. Callers pass the time in and must hold a lock.
package spread
