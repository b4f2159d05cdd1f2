package coord

import (
	"flag"
	"os"
	"testing"
)

// many multiplies the number of random histories, for long runs by hand.
var many = flag.Int("many", 1, "factor on the number of random histories")

func histories(n int) int { return n * *many }

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}
