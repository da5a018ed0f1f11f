package cli

import (
	"os"
	"strings"
	"testing"
)

// Guards against a bench command that fails, with one short simulation. FUCHSIAHUB_BENCH replaces the arguments, for use
// by hand: FUCHSIAHUB_BENCH="--load 0.7" go test -run TestBenchCommand -v ./internal/cli
func TestBenchCommand(t *testing.T) {
	args := []string{"--deployment", "pretha", "--scenario", "steady", "--policy", "default", "--load", "0.5"}
	out := &strings.Builder{}
	cmd := Bench()
	cmd.Writer = out
	if text := os.Getenv("FUCHSIAHUB_BENCH"); text != "" {
		args = strings.Fields(text)
		cmd.Writer = os.Stdout
	}
	if err := cmd.Run(t.Context(), append([]string{"bench"}, args...)); err != nil {
		t.Fatal(err)
	}
}
