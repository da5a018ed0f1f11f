package gateway

import (
	"flag"
	"os"
	"testing"
)

// ciChecks is the number of cases of a property test, which plays minutes of virtual time in each. More are run by hand with
// -rapid.checks.
const ciChecks = "30"

// TestMain fixes the seed of the property tests, so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": ciChecks, "rapid.nofailfile": "true"} {
		if !set[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
