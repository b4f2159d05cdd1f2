package entry

import (
	"net"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"emberlead": func() { os.Exit(Main(os.Args, os.Stdout, os.Stderr)) },
		"until":     runUntil,
		"signal":    runSignal,
	})
}

// Each file in testdata/script is one end-to-end test with real processes; it starts with a line that says what it shows.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			// Free ports differ from run to run, and the scripts name them by variables.
			for _, name := range []string{"CALL1", "PEER1", "OPS1", "CALL2", "PEER2", "OPS2", "CALL3", "PEER3", "OPS3"} {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					return err
				}
				env.Setenv(name, l.Addr().String())
				if err := l.Close(); err != nil {
					return err
				}
			}
			return nil
		},
	})
}
