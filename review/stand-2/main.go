package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun means that a case could not be played, so that nothing is known of the rule.
var errNotRun = errors.New("the case could not run")

// stage is what a case plays on.
type stage struct {
	record  *record
	store   *store
	daemons []*daemon
	// dir holds the settings and logs of the daemons.
	dir string
	// trouble is set if the disruption of the case takes place.
	trouble bool
}

var cases = map[string]func(*stage) (broken bool, err error){}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	s := &stage{record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.add("case", "the case %s begins, with trouble: %t", os.Args[1], s.trouble)
	if s.store, err = newStore(rec); err != nil {
		rec.add("case", "not run: %v", err)
		return exitNotRun
	}
	s.store.find = func(port int) *daemon { return processOf(s.daemons, port) }
	defer s.stopDaemons()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.stopDaemons()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](s)
	switch {
	case err != nil:
		rec.add("case", "not run: %v", err)
		return exitNotRun
	case broken:
		rec.add("case", "the rule was broken")
		return exitBroken
	}
	rec.add("case", "the rule held")
	return exitHeld
}
