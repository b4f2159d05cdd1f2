// Package entry implements the command line: it parses arguments, calls the other packages and prints their results.
package entry
