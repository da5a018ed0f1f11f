package cli_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/cli"
	standin "fuchsiahub.example/fuchsiahub/internal/standin/objectapi"
)

// Guards against a lost update: concurrent changes of two operators that are both accepted, so that one silently
// overwrites the other.
func TestConcurrentChanges(t *testing.T) {
	const operators = 8
	store := standin.New()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- store.Run(ctx) }()
	server := httptest.NewServer(standin.Handler(store))
	defer func() {
		server.Close()
		cancel()
		<-ended
	}()
	fleet, err := os.ReadFile("../../examples/pecos/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	apply := func(by int, args ...string) int {
		text := bytes.Replace(fleet, []byte("pecos"), fmt.Append(nil, "pecos-", by), 1)
		all := append([]string{"fuchsiahub", "apply", "--platform", server.Listener.Addr().String()}, args...)
		return cli.Run(ctx, append(all, "-"), cli.Streams{In: bytes.NewReader(text), Out: &strings.Builder{}, Err: &strings.Builder{}})
	}
	if code := apply(0); code != 0 {
		t.Fatalf("exit code %d", code)
	}
	codes := make(chan int, operators)
	for by := range operators {
		go func() { codes <- apply(by+1, "--version", "1") }()
	}
	count := map[int]int{}
	for range operators {
		count[<-codes]++
	}
	if count[0] != 1 || count[4] != operators-1 {
		t.Errorf("exit codes %v", count)
	}
}

// Guards against an unreadable file or an oversized standard input that is not reported as an error with a remedy.
func TestUnreadableFiles(t *testing.T) {
	long := strings.NewReader("# " + strings.Repeat("x", 2<<20))
	for _, path := range []string{filepath.Join(t.TempDir(), "none"), t.TempDir(), "-"} {
		errs := &strings.Builder{}
		code := cli.Run(t.Context(), []string{"fuchsiahub", "check", path}, cli.Streams{In: long, Out: &strings.Builder{}, Err: errs})
		if code != 1 || !strings.Contains(errs.String(), "remedy: ") {
			t.Errorf("%s: exit code %d, %s", path, code, errs)
		}
	}
}
