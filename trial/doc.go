// Package trial compares policies: it drives real engines through small models of targets under a virtual clock.
//
// There is no model of a network and none of coordination. Every variant sees the
// same arrivals, and the seeds are fixed, so that a difference is the policy's.
package trial
