// Package demo runs a whole deployment in one process over loopback sockets, with callers, faults and a report.
package demo
