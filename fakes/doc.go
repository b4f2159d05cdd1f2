// Package fakes holds small stand-ins for the platform and for targets, for tests, the demo and trials by hand.
package fakes
