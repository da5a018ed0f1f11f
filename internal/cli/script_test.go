package cli_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"fuchsiahub.example/fuchsiahub/internal/cli"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/docfile"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/node"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/ops"
	standin "fuchsiahub.example/fuchsiahub/internal/standin/objectapi"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"fuchsiahub": func() {
			os.Exit(cli.Run(context.Background(), os.Args, cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
		},
	})
}

type storeKey struct{}

// setup starts a stand-in object API for each script.
func setup(env *testscript.Env) error {
	store := standin.New()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- store.Run(ctx) }()
	server := httptest.NewServer(standin.Handler(store))
	env.Defer(func() {
		server.Close()
		cancel()
		<-ended
	})
	env.Values[storeKey{}] = store
	examples, err := filepath.Abs("../../examples")
	env.Setenv("FUCHSIAHUB_PLATFORM", server.Listener.Addr().String())
	env.Setenv("FUCHSIAHUB_BY", "tester")
	env.Setenv("GORACE", "atexit_sleep_ms=0") // the race detector waits 1 s at each exit by default
	env.Setenv("EXAMPLES", examples)
	return err
}

// setSwitches is the script command "switches JSON", which sets the fault switches of the stand-in object API.
func setSwitches(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: switches JSON")
	}
	var switches standin.Switches
	ts.Check(json.Unmarshal([]byte(args[0]), &switches))
	ts.Check(ts.Value(storeKey{}).(*standin.Store).Set(context.Background(), switches))
}

// addInstance is the script command "instance NAME [gone]", which adds an instance to the platform's list and serves its
// GET /state. With "gone" the instance is listed but does not answer.
func addInstance(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 || len(args) > 2 {
		ts.Fatalf("usage: instance NAME [gone]")
	}
	state := ops.State{
		Instance: args[0], Region: "permian", Zone: "permian-a", State: "serving", Ready: true,
		Documents: []ops.Document{{Kind: "services", Name: "intake", Version: 7}},
		Rejected:  []ops.RejectedDocument{{Kind: "services", Name: "atlas", Version: 9, InForce: 8, Message: "owner is missing"}},
		Services: []node.ServiceStatus{{Service: "intake", Servers: []balance.ServerStatus{
			{Name: "intake-1", Zone: "permian-a", State: "cold", InFlight: 1, Allowance: 1, Reason: "it has just started"},
		}}},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if len(args) == 2 {
			panic(http.ErrAbortHandler) // the server closes the connection
		}
		_ = json.NewEncoder(w).Encode(state)
	}))
	ts.Defer(server.Close)
	address := server.Listener.Addr().String()
	value, err := docfile.WriteInstance(&document.Instance{
		Name: args[0], Region: "permian", Zone: "permian-a", PeerAddress: address, OperationsAddress: address,
	})
	ts.Check(err)
	_, err = ts.Value(storeKey{}).(*standin.Store).Create(context.Background(), objectapi.Instances, args[0], value)
	ts.Check(err)
}

// Guards against unintended changes of a command's output, exit code or effect on the object API.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script", Setup: setup, RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"switches": setSwitches, "instance": addInstance, "exits": exits,
		},
	})
}

// exits is the script command "exits CODE ARGUMENT...", which runs fuchsiahub and checks the exit code. Standard output
// and standard error go to the files out and err.
func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE ARGUMENT...")
	}
	out, err := os.Create(ts.MkAbs("out"))
	ts.Check(err)
	defer func() { _ = out.Close() }()
	errs, err := os.Create(ts.MkAbs("err"))
	ts.Check(err)
	defer func() { _ = errs.Close() }()
	full := []string{"fuchsiahub"}
	for _, a := range args[1:] {
		if filepath.Ext(a) == ".toml" {
			a = ts.MkAbs(a)
		}
		full = append(full, a)
	}
	if address := ts.Getenv("FUCHSIAHUB_PLATFORM"); address != "" && full[1] != "check" {
		full = append(full, "--platform", address)
	}
	code := cli.Run(context.Background(), full, cli.Streams{Out: out, Err: errs})
	if want := args[0]; want != string(rune('0'+code)) {
		ts.Fatalf("exit code %d, want %s; see the file err:\n%s", code, want, ts.ReadFile("err"))
	}
}
