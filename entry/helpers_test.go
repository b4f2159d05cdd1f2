package entry

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const untilTimeout = 15 * time.Second

// runUntil repeats a command until its output contains TEXT: until TEXT COMMAND [ARG ...].
func runUntil() {
	text := os.Args[1]
	var out []byte
	for deadline := time.Now().Add(untilTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		out, _ = exec.Command(os.Args[2], os.Args[3:]...).CombinedOutput()
		if strings.Contains(string(out), text) {
			fmt.Print(string(out))
			return
		}
	}
	fmt.Printf("%q did not appear in the output; last output: %s\n", text, out)
	os.Exit(1)
}

// runSignal sends a signal to the daemon whose process id is in FILE: signal NAME FILE.
func runSignal() {
	signals := map[string]syscall.Signal{"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	data, err := os.ReadFile(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err == nil {
		err = syscall.Kill(pid, signals[os.Args[1]])
	}
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
}
