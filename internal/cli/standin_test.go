package cli_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/cli"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/objecthttp"
)

// startCommand starts a command that runs until it is interrupted, and returns the listening address that the command
// prints.
func startCommand(t *testing.T, args ...string) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	reader, writer := io.Pipe()
	ended := make(chan int, 1)
	go func() {
		code := cli.Run(ctx, append([]string{"fuchsiahub"}, args...), cli.Streams{Out: writer, Err: writer})
		_ = writer.Close()
		ended <- code
	}()
	line, err := bufio.NewReader(reader).ReadString('\n')
	_, address, ok := strings.Cut(strings.TrimSpace(line), "listening on ")
	if err != nil || !ok {
		t.Fatalf("got %q, %v", line, err)
	}
	t.Cleanup(func() {
		cancel()
		if code := <-ended; code != 0 {
			t.Errorf("exit code %d after the interrupt", code)
		}
	})
	return address
}

// Guards against a stand-in object API that does not serve, or does not stop on an interrupt while a watch is open.
func TestStandinObjectAPI(t *testing.T) {
	client := objecthttp.New(startCommand(t, "standin", "objectapi", "--address", "127.0.0.1:0"), nil)
	if _, err := client.Create(t.Context(), objectapi.Fleet, "fleet", []byte("x")); err != nil {
		t.Fatal(err)
	}
	w, err := client.Watch(t.Context(), objectapi.Fleet, 0)
	if err != nil {
		t.Fatal(err)
	}
	if e, err := w.Next(t.Context()); err != nil || e.Object.Name != "fleet" {
		t.Errorf("got %+v, %v", e, err)
	}
}

// Guards against a stand-in backend server that does not serve, or does not stop on an interrupt.
func TestStandinBackend(t *testing.T) {
	address := startCommand(t, "standin", "backend", "--address", "127.0.0.1:0", "--name", "intake-1", "--median", "0s")
	response, err := http.Get("http://" + address + "/reports/7")
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || string(body) != "GET /reports/7" || response.Header.Get("Standin-Name") != "intake-1" {
		t.Errorf("got %q, %v, %v", body, response.Header, err)
	}
}
