package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run, a line each with the seconds since its start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %-12s %s\n", time.Since(r.started).Seconds(), who, fmt.Sprintf(format, args...))
	fmt.Print(line)
	_, _ = r.file.WriteString(line)
}

func (r *record) close() { _ = r.file.Close() }
