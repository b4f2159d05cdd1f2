// Package wire is the transport layer: the HTTP servers for callers and operators, the links between daemons, and the
// clients of the platform and of targets.
package wire
