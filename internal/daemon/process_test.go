package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/examples"
	"fuchsiahub.example/fuchsiahub/internal/frontend"
	"fuchsiahub.example/fuchsiahub/internal/standin/site"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// runAsDaemonEnv is the environment variable that makes the test binary run as the daemon, so that tests start real
// processes without building another binary.
const runAsDaemonEnv = "FUCHSIAHUB_TEST_AS_DAEMON"

// cpuProfileEnv is the environment variable with the path prefix for CPU profiles of daemons; each appends its process ID.
const cpuProfileEnv = "FUCHSIAHUB_TEST_PROFILE"

func TestMain(m *testing.M) {
	if os.Getenv(runAsDaemonEnv) == "" {
		os.Exit(m.Run())
	}
	if path := os.Getenv(cpuProfileEnv); path != "" {
		file, err := os.Create(path + "." + strconv.Itoa(os.Getpid()))
		if err != nil {
			panic(err)
		}
		if err := pprof.StartCPUProfile(file); err != nil {
			panic(err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := Main(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	pprof.StopCPUProfile()
	os.Exit(code)
}

// process is a daemon that runs as a child process.
type process struct {
	command   *exec.Cmd
	addresses Addresses
	exited    chan error
}

// startProcess starts a daemon and returns when it listens.
func startProcess(t testing.TB, api, name, region, zone, announce string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), name+".toml")
	text := fmt.Sprintf(`instance = %q
region = %q
zone = %q
caller_address = "127.0.0.1:0"
peer_address = "127.0.0.1:0"
operations_address = "127.0.0.1:0"
[platform]
address = %q
[drain]
announce = %q
[claims]
key = "00112233445566778899aabbccddeeff"
`, name, region, zone, api, announce)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{command: exec.Command(os.Args[0], "--config", path), exited: make(chan error, 1)}
	p.command.Env = append(os.Environ(), runAsDaemonEnv+"=1")
	stderr, err := p.command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	started := make(chan Addresses, 1)
	go p.readLog(stderr, started)
	t.Cleanup(func() { _ = p.command.Process.Kill() })
	p.addresses = <-started
	if p.addresses.Callers == "" {
		t.Fatalf("%s exited before it listened: %v", name, <-p.exited)
	}
	return p
}

// readLog reads the listen addresses from the log of the process and waits for its exit.
func (p *process) readLog(stderr io.Reader, started chan<- Addresses) {
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		var line struct{ Msg, Callers, Peers, Operations string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "instance started" {
			started <- Addresses{Callers: line.Callers, Peers: line.Peers, Operations: line.Operations}
		}
	}
	close(started)
	p.exited <- p.command.Wait()
}

func (p *process) ready() bool {
	resp, err := http.Get("http://" + p.addresses.Operations + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// await polls a condition until it is true or the context of the test ends.
func await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-t.Context().Done():
			t.Fatalf("test ended while waiting for: %s", what)
		}
	}
}

func startSite(t testing.TB) *site.Site {
	t.Helper()
	group := task.NewGroup(context.Background())
	pecos, err := fs.Sub(examples.Files, "pecos")
	if err != nil {
		t.Fatal(err)
	}
	s, err := site.Start(group, pecos, site.Options{Services: []string{"intake"}, Median: 2 * time.Millisecond, Spread: 0.5, Seed: 1, WarmUp: 5})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		group.Stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return s
}

func startFleet(t testing.TB, s *site.Site, announce string) []*process {
	t.Helper()
	places := []struct{ region, zone string }{{"permian", "permian-a"}, {"permian", "permian-b"}, {"gulf", "gulf-a"}}
	var fleet []*process
	for i, place := range places {
		fleet = append(fleet, startProcess(t, s.Address, fmt.Sprintf("entry-%d", i+1), place.region, place.zone, announce))
	}
	for _, p := range fleet {
		await(t, "instance is ready", p.ready)
	}
	return fleet
}

// Outcomes of a request as the caller sees them.
const (
	answered = "answered"
	notRun   = "not-run"
	unknown  = "unknown"
)

// send sends one once-only request and returns its outcome, which is unknown when the connection breaks.
func send(client *http.Client, address, key string) string {
	req, err := http.NewRequest("POST", "http://"+address+"/dispatches", strings.NewReader("crew for "+key))
	if err != nil {
		return unknown
	}
	req.Header.Set(frontend.HeaderService, "intake")
	req.Header.Set("Idempotency-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return unknown
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return unknown
	}
	if resp.StatusCode == http.StatusOK {
		return answered
	}
	return resp.Header.Get(frontend.HeaderOutcome)
}

// Guards against a once-only request that runs twice when an instance is killed under load and callers retry at other
// instances.
func TestKilledInstanceDoublesNothing(t *testing.T) {
	s := startSite(t)
	fleet := startFleet(t, s, "0s")
	const callers, requestsPerCaller = 8, 60
	results := make(chan string, callers*requestsPerCaller)
	halfSent := make(chan struct{}, callers)
	for c := range callers {
		go func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := range requestsPerCaller {
				if i == requestsPerCaller/2 {
					halfSent <- struct{}{}
				}
				results <- sendUntilAnswered(client, fleet, c, fmt.Sprintf("key-%d-%d", c, i))
			}
		}()
	}
	<-halfSent
	if err := fleet[2].command.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	counts := map[string]int{}
	for range callers * requestsPerCaller {
		counts[<-results]++
	}
	ranTwice, err := s.RunTwice(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("outcomes %v, run twice %d", counts, ranTwice)
	if ranTwice != 0 {
		t.Errorf("%d requests ran twice", ranTwice)
	}
	if counts[answered] == 0 {
		t.Error("no request was answered")
	}
}

// sendUntilAnswered retries a request at one instance after the other, like a caller behind a load balancer.
func sendUntilAnswered(client *http.Client, fleet []*process, first int, key string) string {
	outcome := unknown
	for try := range 2 * len(fleet) {
		if outcome = send(client, fleet[(first+try)%len(fleet)].addresses.Callers, key); outcome == answered {
			return answered
		}
	}
	return outcome
}

// Guards against a graceful stop that interrupts a request, does not end the process or exits with an error.
func TestStopUnderLoadCutsNoRequest(t *testing.T) {
	s := startSite(t)
	fleet := startFleet(t, s, "1s")
	stopping := fleet[0]
	// An instance is ready before the owners of all claims have settled; it refuses once-only requests until then.
	await(t, "a once-only request is answered", func() bool { return send(http.DefaultClient, stopping.addresses.Callers, "first") == answered })
	const callers = 6
	results := make(chan string, 10_000)
	ended := make(chan struct{}, callers)
	firstAnswered := make(chan struct{}, callers)
	for c := range callers {
		go func() {
			defer func() { ended <- struct{}{} }()
			reportAnswered := sync.OnceFunc(func() { firstAnswered <- struct{}{} })
			defer reportAnswered() // a caller without an answer must not keep the test waiting
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := 0; i < cap(results)/callers && stopping.ready(); i++ {
				outcome := send(client, stopping.addresses.Callers, fmt.Sprintf("stop-%d-%d", c, i))
				results <- outcome
				if outcome == answered {
					reportAnswered()
				}
			}
		}()
	}
	for range callers {
		<-firstAnswered
	}
	if err := stopping.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for range callers {
		<-ended
	}
	if err := <-stopping.exited; err != nil {
		t.Errorf("exit: %v", err)
	}
	close(results)
	counts := map[string]int{}
	for outcome := range results {
		counts[outcome]++
	}
	t.Logf("outcomes %v", counts)
	if counts[unknown] > 0 || counts[answered] < callers {
		t.Errorf("outcomes %v, want none unknown", counts)
	}
}
