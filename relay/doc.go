// Package relay forwards requests unchanged to targets and makes the decisions for it: routes and API keys, the choice
// of a target, the retry budget, batches of pieces, and which daemon batches for which pool.
//
// The decision logic takes the current time as an argument and does no I/O. Server and PieceScheduler perform the I/O
// through the interfaces in ports.go.
package relay
