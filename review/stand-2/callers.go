package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// processOf returns the daemon whose process opened a connection, by the port of its end; nil if that is unknown. All daemons use the
// same loopback address, so that the address does not tell.
func processOf(daemons []*daemon, port int) *daemon {
	inode := inodeOf(port)
	if inode == "" {
		return nil
	}
	for _, d := range daemons {
		if d.cmd == nil || d.cmd.Process == nil {
			continue
		}
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", d.cmd.Process.Pid))
		for _, link := range links {
			if name, err := os.Readlink(link); err == nil && name == "socket:["+inode+"]" {
				return d
			}
		}
	}
	return nil
}

// inodeOf returns the number of the socket at the near end of a connection.
func inodeOf(port int) string {
	const localField, inodeField = 1, 9
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	suffix := fmt.Sprintf(":%04X", port)
	for line := range bytes.Lines(table) {
		fields := strings.Fields(string(line))
		if len(fields) > inodeField && strings.HasSuffix(fields[localField], suffix) && fields[inodeField] != "0" {
			return fields[inodeField]
		}
	}
	return ""
}
