package backend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedServer accepts connections and runs the script for each, with the number of the connection counted from 1.
func scriptedServer(t *testing.T, script func(number int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 1; ; number++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				script(number, c, bufio.NewReader(c))
			}()
		}
	}()
	return listener.Addr().String()
}

// startPool runs a pool during the test and checks at the end that it stops.
func startPool(t *testing.T, address string, size backend.PoolSize) *backend.Pool {
	t.Helper()
	p, err := backend.NewPool(address, backend.NetDialer, size)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return p
}

func getRequest(path string) *call.Request {
	return &call.Request{ID: "id", Service: "atlas", Method: "GET", Path: path}
}

func readRequest(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req.URL.Path, true
}

func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

func okAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// echo answers every request with its path.
func echo(_ int, c net.Conn, r *bufio.Reader) {
	for path, more := readRequest(r); more; path, more = readRequest(r) {
		write(c, okAnswer(path))
	}
}

// Guards against an answer that reaches another caller: the server sends an unsolicited answer, together with the first
// answer or while the connection is idle.
func TestUnsolicitedAnswerIsDropped(t *testing.T) {
	for _, name := range []string{"with the answer", "while idle"} {
		t.Run(name, func(t *testing.T) {
			answered, unsolicitedSent := make(chan struct{}), make(chan struct{})
			address := scriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for path, more := readRequest(r); more; path, more = readRequest(r) {
					if path != "/first" {
						write(c, okAnswer(path))
						continue
					}
					if name == "with the answer" {
						write(c, okAnswer(path)+okAnswer("stray"))
					} else {
						write(c, okAnswer(path))
						<-answered
						write(c, okAnswer("stray"))
					}
					close(unsolicitedSent)
				}
			})
			p := startPool(t, address, backend.PoolSize{MaxConnections: 1})
			first := p.Do(t.Context(), getRequest("/first"))
			if first.Fate != call.Answered || string(first.Answer.Body) != "/first" {
				t.Fatalf("first: %+v", first)
			}
			close(answered)
			<-unsolicitedSent
			second := p.Do(t.Context(), getRequest("/second"))
			if reported := first.ForeignAnswers + second.ForeignAnswers; reported != 1 {
				t.Errorf("%d foreign answers are reported, want 1", reported)
			}
			if second.Fate == call.NotSent {
				second = doUntilSent(t, p, getRequest("/second"))
			}
			if second.Fate != call.Answered || string(second.Answer.Body) != "/second" {
				t.Fatalf("second caller got %q, fate %v, error %v", body(second), second.Fate, second.Err)
			}
		})
	}
}

// doUntilSent repeats a request that was not sent, as the task of a request does.
func doUntilSent(t *testing.T, p *backend.Pool, req *call.Request) backend.Result {
	t.Helper()
	for range 5 {
		if result := p.Do(t.Context(), req); result.Fate != call.NotSent {
			return result
		}
	}
	t.Fatal("request was not sent in 5 attempts")
	return backend.Result{}
}

func body(r backend.Result) string {
	if r.Answer == nil {
		return ""
	}
	return string(r.Answer.Body)
}

// Guards against the late answer to a cancelled request reaching the next caller.
func TestLateAnswerOfCancelledRequestIsDropped(t *testing.T) {
	arrived := make(chan struct{})
	address := scriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for path, more := readRequest(r); more; path, more = readRequest(r) {
			if path == "/slow" {
				close(arrived)
				_, _ = r.Peek(1) // returns when the caller's connection is closed
			}
			write(c, okAnswer(path))
		}
	})
	p := startPool(t, address, backend.PoolSize{MaxConnections: 1})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	if slow := p.Do(ctx, getRequest("/slow")); slow.Fate != call.MaybeRun {
		t.Fatalf("cancelled request: fate %v, body %q", slow.Fate, body(slow))
	}
	if next := doUntilSent(t, p, getRequest("/next")); body(next) != "/next" {
		t.Fatalf("next caller got %q, fate %v", body(next), next.Fate)
	}
}

// Guards against a broken exchange that reports wrongly whether its request may have run.
func TestFateOfBrokenExchanges(t *testing.T) {
	cases := []struct {
		name   string
		answer string
		fate   call.Fate
	}{
		{"closed before the answer", "", call.MaybeRun},
		{"truncated head", "HTTP/1.1 200 OK\r\nContent-Le", call.MaybeRun},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", call.MaybeRun},
		{"truncated chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", call.MaybeRun},
		{"garbage", "\x00\x01\x02 not http\r\n\r\n", call.MaybeRun},
		{"declared not run", "HTTP/1.1 503 Service Unavailable\r\nBackend-Not-Run: true\r\nContent-Length: 0\r\n\r\n", call.DeclaredNotRun},
		{"refused without Backend-Not-Run", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", call.Answered},
		{"interim answer first", "HTTP/1.1 103 Early Hints\r\n\r\n" + okAnswer("done"), call.Answered},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := scriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				readRequest(r)
				write(conn, c.answer)
			})
			p := startPool(t, address, backend.PoolSize{MaxConnections: 1})
			if result := p.Do(t.Context(), getRequest("/x")); result.Fate != c.fate {
				t.Fatalf("fate %v, want %v (error %v)", result.Fate, c.fate, result.Err)
			}
		})
	}
}

// Guards against a truncated streamed answer that looks complete to the caller.
func TestTruncatedStreamEndsWithError(t *testing.T) {
	address := scriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 4*backend.MaxBufferedAnswerBytes))
		write(c, strings.Repeat("x", 2*backend.MaxBufferedAnswerBytes))
	})
	p := startPool(t, address, backend.PoolSize{MaxConnections: 1})
	result := p.Do(t.Context(), getRequest("/long"))
	if result.Fate != call.Answered || result.Answer.Stream == nil {
		t.Fatalf("result %+v", result)
	}
	got, err := io.ReadAll(result.Answer.Stream)
	if err == nil || len(got) != 2*backend.MaxBufferedAnswerBytes {
		t.Fatalf("read %d bytes, error %v", len(got), err)
	}
}

// Guards against a connection that stays busy, or a pool that never stops, after a caller closed a streamed answer early.
func TestClosedStreamFreesConnection(t *testing.T) {
	address := scriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for path, more := readRequest(r); more; path, more = readRequest(r) {
			if path == "/long" {
				path = strings.Repeat("x", 4*backend.MaxBufferedAnswerBytes)
			}
			write(c, okAnswer(path))
		}
	})
	p := startPool(t, address, backend.PoolSize{MaxConnections: 1})
	long := p.Do(t.Context(), getRequest("/long"))
	_ = long.Answer.Stream.Close()
	if next := doUntilSent(t, p, getRequest("/next")); body(next) != "/next" {
		t.Fatalf("next caller got %q, fate %v", body(next), next.Fate)
	}
}

// Guards against an unknown outcome for a request on a connection that the server had closed while it was idle.
func TestConnectionClosedWhileIdleIsNotSent(t *testing.T) {
	closed := make(chan struct{})
	address := scriptedServer(t, func(number int, c net.Conn, r *bufio.Reader) {
		if number > 1 {
			echo(number, c, r)
			return
		}
		path, _ := readRequest(r)
		write(c, okAnswer(path))
		_ = c.Close()
		close(closed)
	})
	p := startPool(t, address, backend.PoolSize{MaxConnections: 1})
	if first := p.Do(t.Context(), getRequest("/first")); body(first) != "/first" {
		t.Fatalf("first: %+v", first)
	}
	<-closed
	second := p.Do(t.Context(), getRequest("/second"))
	if second.Fate == call.MaybeRun {
		t.Fatalf("fate %v, error %v", second.Fate, second.Err)
	}
}

// Guards against a refused connection being reported as a request that may have run.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	dial := func(context.Context, string) (net.Conn, error) { return nil, errors.New("connection refused") }
	p, err := backend.NewPool("192.0.2.1:1", dial, backend.PoolSize{MaxConnections: 2})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	for range 10 {
		if r := p.Do(t.Context(), getRequest("/x")); r.Fate != call.NotSent || !r.ConnectionRefused {
			t.Fatalf("result %+v", r)
		}
	}
	cancel()
	<-ended
	if r := p.Do(t.Context(), getRequest("/x")); r.Fate != call.NotSent {
		t.Fatalf("after the pool has stopped: %+v", r)
	}
}

// Guards against more connections than the pool's limit, and against an exchange that waits forever.
func TestPoolRespectsConnectionLimit(t *testing.T) {
	opened := make(chan int, 100)
	address := scriptedServer(t, func(number int, c net.Conn, r *bufio.Reader) {
		opened <- number
		echo(number, c, r)
	})
	p := startPool(t, address, backend.PoolSize{MaxConnections: 3, SpareConnections: 1})
	const callers = 30
	done := make(chan backend.Result, callers)
	for range callers {
		go func() { done <- p.Do(t.Context(), getRequest("/x")) }()
	}
	for range callers {
		if r := <-done; r.Fate != call.Answered {
			t.Errorf("fate %v, error %v", r.Fate, r.Err)
		}
	}
	if n := len(opened); n > 3 {
		t.Fatalf("%d connections opened, limit 3", n)
	}
}

// Guards against a request that is forwarded without its remaining time, nesting depth and remaining resends.
func TestRemainingAllowancesAreForwarded(t *testing.T) {
	headers := make(chan http.Header, 1)
	address := scriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		headers <- req.Header
		write(c, okAnswer(""))
	})
	p := startPool(t, address, backend.PoolSize{MaxConnections: 1})
	req := getRequest("/x")
	req.Hops, req.RetriesLeft, req.Deadline = 4, 1, time.Now().Add(time.Hour)
	p.Do(t.Context(), req)
	got := <-headers
	if got.Get(backend.HeaderHops) != "5" || got.Get(backend.HeaderRetries) != "1" || got.Get(backend.HeaderTimeout) == "" {
		t.Fatalf("header %v", got)
	}
}

// Guards against a repeated refusal that says "not run" of the next request on the same connection, which the server runs.
func TestRepeatedRefusalIsNotTheAnswerToTheNextRequest(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nBackend-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
	ran := make(chan string, 2)
	address := scriptedServer(t, func(number int, c net.Conn, r *bufio.Reader) {
		for path, more := readRequest(r); more; path, more = readRequest(r) {
			if path == "/first" {
				write(c, refusal)
				continue
			}
			ran <- path
			if number == 1 {
				write(c, refusal)
			}
			write(c, okAnswer(path))
		}
	})
	p := startPool(t, address, backend.PoolSize{MaxConnections: 1})
	if first := p.Do(t.Context(), getRequest("/first")); first.Fate != call.DeclaredNotRun {
		t.Fatalf("first: %+v", first)
	}
	second := p.Do(t.Context(), getRequest("/second"))
	if second.Fate != call.Answered || body(second) != "/second" || len(ran) != 1 {
		t.Errorf("second: fate %v, body %q; the server ran %d requests", second.Fate, body(second), len(ran))
	}
}

// Guards against a connection that stays busy, or a pool that never stops, after a refusal whose long body nobody reads.
func TestLongRefusalFreesConnection(t *testing.T) {
	address := scriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for path, more := readRequest(r); more; path, more = readRequest(r) {
			if path == "/refused" {
				text := strings.Repeat("x", 4*backend.MaxBufferedAnswerBytes)
				write(c, fmt.Sprintf("HTTP/1.1 503 X\r\nBackend-Not-Run: true\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
				continue
			}
			write(c, okAnswer(path))
		}
	})
	p := startPool(t, address, backend.PoolSize{MaxConnections: 1})
	if refused := p.Do(t.Context(), getRequest("/refused")); refused.Fate != call.DeclaredNotRun {
		t.Fatalf("refused: fate %v, error %v", refused.Fate, refused.Err)
	}
	if next := p.Do(t.Context(), getRequest("/next")); body(next) != "/next" {
		t.Fatalf("next caller got %q, fate %v", body(next), next.Fate)
	}
}
