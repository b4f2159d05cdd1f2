// Package origin remembers at which software version of its targets each stream began, and decides which daemons keep
// that. Streams of two versions do not fit together, so a stream whose origin is unknown must not go on anywhere.
//
// It has no clock, network, goroutines or locks of its own. Callers pass the time in and must hold a lock.
package origin
