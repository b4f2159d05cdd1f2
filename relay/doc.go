// Package relay makes the decisions for requests that are passed on unchanged to targets: routes and keys, the
// choice of a target, the budget of retries, batches of pieces, and who batches for which pool.
//
// The decisions take the time as an argument and do no I/O; Server and Pieces carry them out through the
// interfaces in ports.go.
package relay
