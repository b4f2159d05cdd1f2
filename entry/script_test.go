package entry

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"emberlead/proto"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"emberlead": func() { os.Exit(Main(os.Args, os.Stdout, os.Stderr)) },
		"until":     runUntil,
		"signal":    runSignal,
	})
}

// nextPort goes up from below the range that the kernel hands out, since a port from that range, once closed,
// may be given to another script's process before this one's listens.
var nextPort atomic.Int64

const (
	firstPort = 20_000
	lastPort  = 30_000
)

func freeAddress() (string, error) {
	for {
		port := firstPort + nextPort.Add(1)
		if port > lastPort {
			return "", fault("find a port", proto.KindUnavailable, "no port is free from %d to %d", firstPort, lastPort)
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		return l.Addr().String(), l.Close()
	}
}

// Each file in testdata/script is one end-to-end test with real processes; it starts with a line that says what it shows.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			for _, name := range []string{"CALL1", "PEER1", "OPS1", "CALL2", "PEER2", "OPS2", "CALL3", "PEER3", "OPS3"} {
				address, err := freeAddress()
				if err != nil {
					return err
				}
				env.Setenv(name, address)
			}
			return nil
		},
	})
}
