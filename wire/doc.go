// Package wire is the transport layer: callers' and operators' HTTP, links between daemons, and clients of the platform and of targets.
package wire
