// Package trial compares scheduling policies: it runs real engines against simple models of targets under a virtual clock.
//
// The model includes neither the network nor coordination between daemons. Every variant sees the same arrivals, and
// the seeds are fixed, so a difference between results is due to the policy.
package trial
