// Package fakes implements in-process fakes of the platform and of targets, for tests, the demo and manual trials.
package fakes
