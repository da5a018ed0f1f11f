package backend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	standin "fuchsiahub.example/fuchsiahub/internal/standin/backend"
	"fuchsiahub.example/fuchsiahub/internal/standin/memnet"
)

// testServer is a server and its client in a synctest bubble.
type testServer struct {
	*standin.Server
	t        *testing.T
	listener chan *memnet.Listener
	client   http.Client
}

func inBubble(t *testing.T, options standin.Options, test func(t *testing.T, r *testServer)) {
	synctest.Test(t, func(t *testing.T) {
		server, err := standin.New(options)
		if err != nil {
			t.Fatal(err)
		}
		r := &testServer{Server: server, t: t, listener: make(chan *memnet.Listener, 1)}
		r.client.Transport = &http.Transport{DialContext: r.dial}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- server.Run(ctx, r.listen) }()
		synctest.Wait()
		test(t, r)
		r.client.CloseIdleConnections()
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

func (r *testServer) listen() (net.Listener, error) {
	select {
	case <-r.listener:
	default:
	}
	l := memnet.Listen()
	r.listener <- l
	return l, nil
}

// dial connects to the listener of the current incarnation.
func (r *testServer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	l := <-r.listener
	r.listener <- l
	return l.Dial(ctx, network, address)
}

type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

// send starts a request and returns a channel for its answer.
func (r *testServer) send(key, body string) chan answer {
	out := make(chan answer, 1)
	go func() {
		req, _ := http.NewRequest("POST", "http://standin/dispatch", strings.NewReader(body))
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		resp, err := r.client.Do(req)
		if err != nil {
			out <- answer{err: err}
			return
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		out <- answer{status: resp.StatusCode, body: string(text), header: resp.Header, err: err}
	}()
	synctest.Wait()
	return out
}

func (r *testServer) report() standin.Report {
	report, err := r.Report(r.t.Context())
	if err != nil {
		r.t.Fatal(err)
	}
	return report
}

// Guards against a stand-in that runs more requests than it has slots, or sheds requests while its queue has space.
func TestSlotsAndQueue(t *testing.T) {
	inBubble(t, standin.Options{Name: "s", Slots: 2, Queue: 1, Median: time.Second}, func(t *testing.T, r *testServer) {
		first, second, third, fourth := r.send("a", "1"), r.send("b", "2"), r.send("a", "3"), r.send("", "4")
		got := <-fourth
		if got.status != 503 || got.header.Get(backend.HeaderNotRun) != "true" || got.header.Get(backend.HeaderLoad) != "3/2" {
			t.Errorf("the fourth request got %+v", got)
		}
		for i, reply := range []chan answer{first, second, third} {
			if got := <-reply; got.status != 200 || got.body != string(rune('1'+i)) {
				t.Errorf("request %d got %+v", i+1, got)
			}
		}
		if n := r.report(); n.MaxRunning != 2 || n.Finished != 3 || n.Shed != 1 || n.Runs["a"] != 2 || n.Runs["b"] != 1 {
			t.Errorf("report %+v", n)
		}
	})
}

// Guards against a stand-in that handles any load while it is cold, or that never becomes ready.
func TestColdStart(t *testing.T) {
	inBubble(t, standin.Options{Name: "s", Slots: 4, ColdAllowance: 1, WarmUp: 2, Median: time.Second}, func(t *testing.T, r *testServer) {
		first, second := r.send("", "1"), r.send("", "2")
		if got := <-second; got.status != 500 || got.header.Get(backend.HeaderState) != "cold" {
			t.Errorf("the second request got %+v", got)
		}
		<-first
		if got := <-r.send("", "3"); got.header.Get(backend.HeaderState) != "ready" {
			t.Errorf("after the warm-up the state is %q", got.header.Get(backend.HeaderState))
		}
		if n := r.report(); n.ColdOverloads != 1 || n.MaxCold != 1 {
			t.Errorf("report %+v", n)
		}
	})
}

// Guards against a crash after which requests are still answered, connections stay open or the incarnation is unchanged.
func TestCrash(t *testing.T) {
	inBubble(t, standin.Options{Name: "s", Slots: 4, Median: time.Second, DownTime: 3 * time.Second}, func(t *testing.T, r *testServer) {
		if err := r.Set(t.Context(), standin.Switches{CrashOn: "poison"}); err != nil {
			t.Fatal(err)
		}
		before := r.report().Incarnation
		harmless, fatal := r.send("", "1"), r.send("", "some poison")
		if got := <-fatal; got.err == nil {
			t.Errorf("the fatal request got %+v", got)
		}
		if got := <-harmless; got.err == nil {
			t.Errorf("a request that ran alongside got %+v", got)
		}
		if got := <-r.send("", "2"); got.err == nil {
			t.Errorf("while the server was down a request got %+v", got)
		}
		time.Sleep(3 * time.Second) // virtual time
		synctest.Wait()
		if got := <-r.send("", "3"); got.status != 200 || got.header.Get(backend.HeaderIncarnation) == before {
			t.Errorf("after the crash a request got %+v", got)
		}
		if n := r.report(); n.Crashes != 1 || n.Running != 0 {
			t.Errorf("report %+v", n)
		}
	})
}

// Guards against switches without effect: tests that rely on them would pass without testing anything.
func TestSwitches(t *testing.T) {
	inBubble(t, standin.Options{Name: "s", Slots: 1, Median: time.Second}, func(t *testing.T, r *testServer) {
		set := func(s standin.Switches) {
			if err := r.Set(t.Context(), s); err != nil {
				t.Fatal(err)
			}
		}
		set(standin.Switches{Shed: true})
		if got := <-r.send("", "1"); got.status != 503 {
			t.Errorf("shed: %+v", got)
		}
		set(standin.Switches{Fail: true})
		if got := <-r.send("", "1"); got.status != 500 {
			t.Errorf("fail: %+v", got)
		}
		set(standin.Switches{Truncate: true})
		if got := <-r.send("", "1234"); got.err == nil {
			t.Errorf("truncate: %+v", got)
		}
		set(standin.Switches{Draining: true, ReportedLoad: "0/9"})
		if got := <-r.send("", "1"); got.header.Get(backend.HeaderState) != "draining" || got.header.Get(backend.HeaderLoad) != "0/9" {
			t.Errorf("draining: %+v", got)
		}
		set(standin.Switches{Slowness: 5})
		start := time.Now()
		if got := <-r.send("", "1"); got.header.Get(backend.HeaderState) != "ready" || time.Since(start) != 5*time.Second {
			t.Errorf("slowness: %+v after %v", got, time.Since(start))
		}
	})
}

// Guards against a limit on connections that is not enforced.
func TestConnectionLimit(t *testing.T) {
	inBubble(t, standin.Options{Name: "s", Slots: 4, Connections: 2, Median: time.Second}, func(t *testing.T, r *testServer) {
		first, second, third := r.send("", "1"), r.send("", "2"), r.send("", "3")
		if got := <-third; got.err == nil {
			t.Errorf("the third connection got %+v", got)
		}
		<-first
		<-second
		if n := r.report(); n.MaxConnections != 2 || n.ConnectionsClosed != 1 {
			t.Errorf("report %+v", n)
		}
	})
}

// Guards against a request that still runs, occupies a slot or waits in the queue after the caller's deadline.
func TestDeadline(t *testing.T) {
	inBubble(t, standin.Options{Name: "s", Slots: 1, Queue: 4, Median: time.Hour}, func(t *testing.T, r *testServer) {
		running := make(chan int, 1)
		go func() { running <- r.statusWithin("200") }()
		synctest.Wait()
		if status := r.statusWithin("100"); status != 504 {
			t.Errorf("the request that waits got status %d", status)
		}
		synctest.Wait()
		if n := r.report(); n.Running != 1 || n.Waiting != 0 {
			t.Errorf("report %+v", n)
		}
		if status := <-running; status != 504 {
			t.Errorf("the request that runs got status %d", status)
		}
		if n := r.report(); n.Running != 0 {
			t.Errorf("report %+v", n)
		}
	})
}

// statusWithin sends a request with a deadline in milliseconds and returns the status of its answer.
func (r *testServer) statusWithin(ms string) int {
	req, _ := http.NewRequest("GET", "http://standin/x", nil)
	req.Header.Set(backend.HeaderTimeout, ms)
	resp, err := r.client.Do(req)
	if err != nil {
		r.t.Error(err)
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Guards against a leaked slot when a waiting request is granted a slot at the moment of its deadline.
func TestSlotGrantedAtDeadline(t *testing.T) {
	inBubble(t, standin.Options{Name: "s", Slots: 1, Queue: 4, Median: 100 * time.Millisecond}, func(t *testing.T, r *testServer) {
		for range 100 {
			ended := make(chan int, 2)
			go func() { ended <- r.statusWithin("1000") }()
			synctest.Wait()
			go func() { ended <- r.statusWithin("100") }()
			<-ended
			<-ended
			synctest.Wait()
			if n := r.report(); n.Running != 0 || n.Waiting != 0 {
				t.Fatalf("report %+v", n)
			}
		}
	})
}
