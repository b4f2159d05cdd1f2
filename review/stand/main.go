package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the scripts by their names. Each returns whether the rule was broken.
var cases = map[string]func(root string, out *record, trouble bool) (broken bool, err error){
	"surplus": surplusCase,
	"cut":     cutCase,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	out, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	broken, err := run(os.Args[2], out, os.Getenv("TROUBLE") != "0")
	if err != nil {
		out.say("the case could not run: %v", err)
	}
	out.close()
	switch {
	case err != nil:
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
