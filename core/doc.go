// Package core makes the decisions of an entry daemon: admission, queueing, routing, limits, retries, hedges and placement.
//
// It does no I/O, starts no goroutines and does not read the wall clock. It takes events, each with the time at which
// it happened, and returns actions. A driver executes the actions and reports their results as further events.
package core
