// Package sched decides which requests a pipeline of pools admits while it is busy: how much work each pool can take, how
// that is divided between ranks and workspaces, and when the callers of refused requests should come back. It also decides
// which new connections a daemon closes unread while it gets most of them.
//
// It has no clock, network, goroutines or locks of its own. Callers pass the time in and must hold a lock.
package sched
