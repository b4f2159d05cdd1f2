package coord

import (
	"flag"
	"os"
	"testing"
)

// historyFactor multiplies the number of random histories, for long manual runs.
var historyFactor = flag.Int("many", 1, "factor on the number of random histories")

func histories(n int) int { return n * *historyFactor }

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}
