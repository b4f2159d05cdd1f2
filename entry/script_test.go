package entry

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"emberlead/fakes"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"emberlead": func() { os.Exit(Main(os.Args, os.Stdout, os.Stderr)) },
		"until":     runUntil,
		"signal":    runSignal,
	})
}

// TestScripts runs every file in testdata/script as an end-to-end test with real processes. The first line of each file
// says what it tests.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			host, err := fakes.ReserveHost()
			if err != nil {
				return err
			}
			env.Defer(func() { _ = host.Close() })
			for _, name := range []string{"CALL1", "PEER1", "OPS1", "CALL2", "PEER2", "OPS2", "CALL3", "PEER3", "OPS3"} {
				address, err := host.FreePort()
				if err != nil {
					return err
				}
				env.Setenv(name, address.String())
			}
			return nil
		},
	})
}
