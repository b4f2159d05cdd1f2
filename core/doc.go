// Package core makes the decisions of one entry daemon: admission, queueing, routing, limits, retries, hedges and placement.
//
// It does no I/O, starts no goroutine and reads no wall clock. Events go in with
// the instant they happened at, and actions come out. A driver carries the
// actions out and feeds back what came of them.
package core
