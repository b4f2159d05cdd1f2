// Package entry is the command line: it reads arguments, hands over to the other packages and prints what they return.
package entry
