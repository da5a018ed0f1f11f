package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/decide/dispatch"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/task"
	"fuchsiahub.example/fuchsiahub/internal/tcp"
)

const (
	testPost      = "POST /crew HTTP/1.1\r\nHost: hotline\r\nContent-Length: 4\r\n\r\nmain"
	testLastPost  = "POST /crew HTTP/1.1\r\nHost: hotline\r\nConnection: close\r\nContent-Length: 4\r\n\r\nmain"
	testHalfPost  = "POST /crew HTTP/1.1\r\nHost: hot"
	testOtherHalf = "line\r\nContent-Length: 4\r\n\r\nmain"
	// raceRepeats is the number of connections in a test whose order of events the scheduler may change.
	raceRepeats = 64
)

// connectionTest serves caller connections. Its requests wait for refuse, in place of the director.
type connectionTest struct {
	t                    *testing.T
	server               *callerServer
	director             *task.Mailbox[any]
	stop                 *plannedStop
	leaving, closingIdle chan struct{}
	registry             metrics.Registry
}

func newConnectionTest(t *testing.T) *connectionTest {
	t.Helper()
	test := newSocketTest(t)
	t.Cleanup(func() {
		for test.refuse() { // a request whose caller has gone waits for the director
			continue
		}
	})
	return test
}

// newSocketTest returns a connectionTest for sockets of the kernel, which a synctest bubble cannot hold.
func newSocketTest(t *testing.T) *connectionTest {
	t.Helper()
	config := &fleet.Config{Routes: []fleet.Route{{Name: "crew", Host: "hotline", Prefix: "/", Attempts: 1,
		Shares: []fleet.ServiceShare{{Service: "intake", Weight: 1}}}}}
	snapshots := &SnapshotPublisher{}
	snapshots.newest.Store(&Snapshot{Routes: dispatch.NewTable(config), View: &fleet.View{Config: config,
		Backends: map[string][]*fleet.Backend{"intake": {{ID: "w-1"}}}}})
	stop := &plannedStop{leaving: make(chan struct{}), ends: time.Now().Add(time.Hour)}
	test := &connectionTest{t: t, director: task.NewMailbox[any]("director", 2*raceRepeats), stop: stop, leaving: stop.leaving,
		closingIdle: make(chan struct{}), registry: metrics.NewRegistry()}
	requests, err := newForwarder(snapshots, test.director, fakeDialect{}, stop, 0, slog.New(slog.DiscardHandler),
		newCounters(test.registry))
	if err != nil {
		t.Fatal(err)
	}
	test.server, err = newCallerServer(requests, fakeDialect{}, snapshots, test.leaving, test.closingIdle, nil)
	if err != nil {
		t.Fatal(err)
	}
	return test
}

// refuse answers one request with 503. It returns false if none is waiting.
func (c *connectionTest) refuse() bool {
	synctest.Wait()
	select {
	case m := <-c.director.C():
		m.(placeRequest).reply(placeRefusal{reason: reasonNoRoom})
		return true
	default:
		return false
	}
}

// connect serves a new connection and returns the caller's end of it.
func (c *connectionTest) connect() *testConn {
	near, far := net.Pipe()
	go c.server.serve(context.Background(), far)
	return newTestConn(c.t, near)
}

// testConn is the caller's end of a connection.
type testConn struct {
	net.Conn
	t       *testing.T
	reader  *bufio.Reader
	texts   chan string
	written chan error
}

func newTestConn(t *testing.T, conn net.Conn) *testConn {
	c := &testConn{Conn: conn, t: t, reader: bufio.NewReader(conn), texts: make(chan string, 8), written: make(chan error, 8)}
	go func() {
		for text := range c.texts {
			_, err := io.WriteString(conn, text)
			c.written <- err
		}
	}()
	t.Cleanup(func() {
		_ = conn.Close()
		close(c.texts)
	})
	return c
}

// send writes without waiting until the other end has read.
func (c *testConn) send(text string) {
	c.texts <- text
	synctest.Wait()
}

// answer reads the next answer to a request with the method POST.
func (c *testConn) answer() (*http.Response, error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// expectRefusal reports an error unless the next answer is a 503.
func (c *testConn) expectRefusal(what string) *http.Response {
	c.t.Helper()
	response, err := c.answer()
	if err != nil {
		c.t.Errorf("%s: connection ended without an answer: %v", what, err)
		return &http.Response{}
	}
	if response.StatusCode != http.StatusServiceUnavailable {
		c.t.Errorf("%s: status %d", what, response.StatusCode)
	}
	return response
}

// expectEnd reports an error unless the connection ends.
func (c *testConn) expectEnd() {
	c.t.Helper()
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		c.t.Errorf("connection did not end: %v", err)
	}
}

// Guards against a connection that is closed while a request is on its way that its caller sent before the idle timeout.
func TestRequestJustBehindIdleTimeoutIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		conn := test.connect()
		time.Sleep(defaultIdleTimeout + idleMargin/2)
		conn.send(testPost)
		test.refuse()
		conn.expectRefusal("request just behind the idle timeout")
	})
}

// Guards against an idle timeout that closes a connection whose bytes arrive at the same instant.
func TestRequestThatArrivesAtIdleTimeoutIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		for range raceRepeats {
			conn := test.connect()
			time.Sleep(defaultIdleTimeout + idleMargin)
			conn.send(testPost)
			test.refuse()
			conn.expectRefusal("request at the idle timeout")
			_ = conn.Close()
		}
	})
}

// Guards against an idle timeout that wins over a request that was read while the task could not run.
func TestRequestReadBeforeIdleTimeoutIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		for range raceRepeats {
			near, far := net.Pipe()
			conn := newTestConn(t, near)
			c := test.server.newCaller(context.Background(), far)
			go c.read()
			conn.send(testPost)
			time.Sleep(defaultIdleTimeout + idleMargin + time.Second)
			go c.run()
			test.refuse()
			conn.expectRefusal("request read and not taken up")
			_ = conn.Close()
		}
	})
}

// Guards against an idle timeout that closes a connection on which a request has begun.
func TestRequestHalfReadAtIdleTimeoutIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		conn := test.connect()
		time.Sleep(defaultIdleTimeout + idleMargin - time.Second)
		conn.send(testHalfPost)
		time.Sleep(2 * time.Second)
		conn.send(testOtherHalf)
		test.refuse()
		conn.expectRefusal("request half read at the idle timeout")
	})
}

// Guards against an idle connection that stays open.
func TestIdleConnectionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		conn := test.connect()
		start := time.Now()
		conn.expectEnd()
		if elapsed := time.Since(start); elapsed < defaultIdleTimeout+idleMargin || elapsed > defaultIdleTimeout+idleMargin+time.Second {
			t.Errorf("idle connection ended after %v", elapsed)
		}
	})
}

// Guards against a planned stop that closes a connection on which a request has begun.
func TestPlannedStopAnswersRequestHalfRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		conn := test.connect()
		conn.send(testHalfPost)
		close(test.leaving)
		close(test.closingIdle)
		time.Sleep(time.Second)
		conn.send(testOtherHalf)
		test.refuse()
		if !conn.expectRefusal("request half read at the stop").Close {
			t.Error("the last answer of a leaving instance does not close the connection")
		}
		conn.expectEnd()
	})
}

// Guards against a planned stop that wins over a request that was read and not taken up.
func TestPlannedStopAnswersRequestRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		close(test.leaving)
		close(test.closingIdle)
		for range raceRepeats {
			near, far := net.Pipe()
			conn := newTestConn(t, near)
			c := test.server.newCaller(context.Background(), far)
			go c.read()
			conn.send(testPost)
			go c.run()
			test.refuse()
			conn.expectRefusal("request read and not taken up")
			conn.expectEnd()
		}
	})
}

// Guards against a planned stop that closes a connection whose request lies unread in the socket.
func TestPlannedStopAnswersRequestInSocket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		close(test.leaving)
		close(test.closingIdle)
		for range raceRepeats {
			near, far := net.Pipe()
			conn := newTestConn(t, near)
			conn.send(testPost)
			go test.server.serve(context.Background(), far)
			test.refuse()
			conn.expectRefusal("request in the socket")
			conn.expectEnd()
		}
	})
}

// Guards against a leaving instance that cuts requests which it has passed on behind another one of the same connection.
func TestPlannedStopAnswersPipelinedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		conn := test.connect()
		conn.send(testPost)
		conn.send(testPost)
		close(test.leaving)
		test.refuse()
		if conn.expectRefusal("first request").Close {
			t.Error("an answer closes the connection before the answer to a later request")
		}
		test.refuse()
		if !conn.expectRefusal("second request").Close {
			t.Error("the last answer of a leaving instance does not close the connection")
		}
		conn.expectEnd()
	})
}

// Guards against a leaving instance that closes a connection after an answer that does not say so, because the answer was ready
// before the reading goroutine had stopped.
func TestReadyAnswerOfLeavingInstanceClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		close(test.leaving)
		for range raceRepeats {
			conn := test.connect()
			conn.send("GET / HTTP/1.1\r\nHost: unknown\r\n\r\n")
			response, err := conn.answer()
			if err != nil || !response.Close {
				t.Errorf("%+v, error %v, want an answer that closes the connection", response, err)
			}
			conn.expectEnd()
		}
	})
}

// Guards against requests that are passed on behind a request after which the caller wants the connection closed.
func TestNothingIsPassedOnBehindLastRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		conn := test.connect()
		conn.send(testLastPost + testPost)
		if !test.refuse() || test.refuse() {
			t.Error("not exactly one request was passed on")
		}
		conn.expectRefusal("last request")
		conn.expectEnd()
	})
}

// Guards against a request that keeps running after its caller has gone, because nothing more is read from the connection.
func TestDisconnectBehindLastRequestIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		conn := test.connect()
		conn.send(testLastPost)
		_ = conn.Close()
		synctest.Wait()
		if n := test.server.requests.counters.abandoned.Count(); n != 1 {
			t.Errorf("%d requests are abandoned", n)
		}
	})
}

// halfCloseConn is a connection whose write side can be closed. It reports when it is closed altogether.
type halfCloseConn struct {
	net.Conn
	writeClosed, closed chan struct{}
}

func newHalfCloseConn(conn net.Conn) *halfCloseConn {
	return &halfCloseConn{Conn: conn, writeClosed: make(chan struct{}), closed: make(chan struct{}, 8)}
}

func (c *halfCloseConn) CloseWrite() error {
	close(c.writeClosed)
	return nil
}

func (c *halfCloseConn) Close() error {
	c.closed <- struct{}{}
	return c.Conn.Close()
}

// Guards against a reset that takes the last answer with it: a socket that is closed with unread bytes resets.
func TestUnreadBytesDoNotResetLastAnswer(t *testing.T) {
	for name, request := range map[string]string{"last request": testLastPost, "malformed": "nonsense\r\n\r\n"} {
		cause := map[string]ending{"last request": endAnswer, "malformed": endRejected}[name]
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				test := newConnectionTest(t)
				near, far := net.Pipe()
				conn, server := newTestConn(t, near), newHalfCloseConn(far)
				go test.server.serve(context.Background(), server)
				conn.send(request)
				conn.send(testPost)
				conn.send(strings.Repeat("x", 2*readBuffer))
				test.refuse()
				if _, err := conn.answer(); err != nil {
					t.Errorf("no answer: %v", err)
				}
				synctest.Wait()
				for range 3 {
					select {
					case err := <-conn.written:
						if err != nil {
							t.Errorf("connection was reset: %v", err)
						}
					default:
						t.Error("the connection holds unread bytes")
					}
				}
				select {
				case <-server.writeClosed:
				default:
					t.Error("the end of the answers is not shown to the caller")
				}
				if len(server.closed) > 0 {
					t.Error("connection is closed before the caller has closed it")
				}
				_ = conn.Close()
				synctest.Wait()
				if len(server.closed) == 0 {
					t.Error("connection is not closed after the caller has closed it")
				}
				if n := metrics.GetOrRegisterCounter("gateway.connections_closed."+string(cause), test.registry).Count(); n != 1 {
					t.Errorf("%d connections were closed for %s, want 1", n, cause)
				}
			})
		})
	}
}

// Guards against a connection that stays open because its caller never closes it.
func TestLingeringConnectionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		near, far := net.Pipe()
		conn, server := newTestConn(t, near), newHalfCloseConn(far)
		go test.server.serve(context.Background(), server)
		conn.send(testLastPost)
		test.refuse()
		conn.expectRefusal("last request")
		time.Sleep(time.Second)
		if len(server.closed) == 0 {
			t.Error("connection is open although its caller had time to close it")
		}
		if n := metrics.GetOrRegisterCounter("gateway.connections_closed.answer", test.registry).Count(); n != 1 {
			t.Errorf("%d connections were closed by an answer, want 1", n)
		}
	})
}

// Guards against a caller that waits for 100 Continue, and then for its answer, on a connection whose last answer is older
// than the write timeout.
func TestContinueAfterWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		conn := test.connect()
		conn.send(testPost)
		test.refuse()
		conn.expectRefusal("first request")
		time.Sleep(writeTimeout + time.Second)
		conn.send("POST /crew HTTP/1.1\r\nHost: hotline\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		if err := conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		line, err := conn.reader.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "HTTP/1.1 100 ") {
			t.Errorf("%q instead of 100 Continue: %v", line, err)
		}
		_, _ = conn.reader.ReadString('\n') // the empty line
		conn.send("main")
		test.refuse()
		conn.expectRefusal("second request")
	})
}

// Guards against a 100 Continue without a request that waits for it: one whose body came at once, behind another request.
func TestNoContinueBehindAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		conn := test.connect()
		conn.send(testPost)
		conn.send("POST /crew HTTP/1.1\r\nHost: hotline\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nmain")
		test.refuse()
		conn.expectRefusal("first request")
		test.refuse()
		conn.expectRefusal("second request")
		conn.expectEnd()
	})
}

// heldConn holds back the reads of its connection from the given one on.
type heldConn struct {
	net.Conn
	reads   int
	held    int
	release chan struct{}
}

func (c *heldConn) Read(p []byte) (int, error) {
	c.reads++
	if c.reads == c.held {
		<-c.release
	}
	return c.Conn.Read(p)
}

// Guards against a request that has arrived in time and is refused or dropped because the process read it late.
func TestRequestReadLateIsAnswered(t *testing.T) {
	head, body, _ := strings.Cut(testPost, "main")
	for name, parts := range map[string][2]string{"head": {testHalfPost, testOtherHalf}, "body": {head, "main" + body}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				test := newConnectionTest(t)
				near, far := net.Pipe()
				conn, held := newTestConn(t, near), &heldConn{Conn: far, held: 2, release: make(chan struct{})}
				go test.server.serve(context.Background(), held)
				conn.send(parts[0])
				conn.send(parts[1])
				time.Sleep(max(defaultHeaderTimeout, bodyTimeout) + time.Second)
				close(held.release)
				test.refuse()
				conn.expectRefusal("request that was read late")
			})
		})
	}
}

// Guards against a caller that keeps a connection open by sending a request slowly.
func TestSlowRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		conn := test.connect()
		conn.send("POST /")
		start := time.Now()
		go func() {
			for {
				time.Sleep(10 * time.Millisecond)
				if _, err := io.WriteString(conn, "x"); err != nil {
					return
				}
			}
		}()
		response, err := conn.answer()
		if err != nil || response.StatusCode != http.StatusRequestTimeout {
			t.Errorf("slow request: %v, %v", response, err)
		}
		if elapsed := time.Since(start); elapsed > 2*defaultHeaderTimeout+time.Second {
			t.Errorf("slow request was read for %v", elapsed)
		}
		_ = conn.Close()
		time.Sleep(time.Second) // the sender notices the close
	})
}

// cutReader ends with an error.
type cutReader struct{ io.Reader }

func (s cutReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = errors.New("backend server reset the connection")
	}
	return n, err
}

// Guards against a streamed answer of unknown length that closes a kept connection, and against a truncated one that looks
// complete.
func TestStreamOfUnknownLengthIsChunked(t *testing.T) {
	write := func(stream io.Reader) (*http.Response, error) {
		var wire bytes.Buffer
		r := reply{status: http.StatusOK, header: http.Header{}, stream: io.NopCloser(stream), length: -1}
		_ = r.write(bufio.NewWriter(&wire), &pendingRequest{method: http.MethodGet}) // the caller sees what has been written
		return http.ReadResponse(bufio.NewReader(&wire), &http.Request{Method: http.MethodGet})
	}
	long := strings.Repeat("x", 1<<17)
	response, err := write(strings.NewReader(long))
	if err != nil {
		t.Fatal(err)
	}
	if response.Close {
		t.Error("the answer closes the connection")
	}
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != long {
		t.Errorf("%d bytes, %v", len(body), err)
	}
	response, err = write(cutReader{strings.NewReader(long)})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(response.Body); err == nil {
		t.Error("a truncated answer looks complete")
	}
}

// Guards against a chunked answer to a caller that speaks HTTP/1.0, and against a connection that such a caller is not told
// to be kept.
func TestStreamToHTTP10EndsWithConnection(t *testing.T) {
	var wire bytes.Buffer
	r := reply{status: http.StatusOK, header: http.Header{}, stream: io.NopCloser(strings.NewReader("x")), length: -1,
		closing: true}
	if err := r.write(bufio.NewWriter(&wire), &pendingRequest{method: http.MethodGet, http10: true}); err != nil {
		t.Fatal(err)
	}
	if text := wire.String(); !strings.Contains(text, "Connection: close") || !strings.HasSuffix(text, "\r\n\r\nx") {
		t.Errorf("answer is %q", text)
	}
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		conn := test.connect()
		conn.send("GET /crew HTTP/1.0\r\nHost: hotline\r\nConnection: keep-alive\r\n\r\n")
		test.refuse()
		conn.expectRefusal("request in HTTP/1.0")
		conn.expectEnd()
	})
}

// lateListener hands out a connection that was accepted before the listener was closed only after that.
type lateListener struct {
	net.Listener
	conn   chan net.Conn
	closed chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	select {
	case conn := <-l.conn:
		return conn, nil
	default:
		return nil, net.ErrClosed
	}
}

func (l *lateListener) Close() error {
	close(l.closed)
	return nil
}

// Guards against a planned stop that ends while accepted connections wait to be taken up.
func TestPlannedStopServesAcceptedConnections(t *testing.T) {
	for _, where := range []string{"inbox", "accept"} {
		t.Run(where, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for range raceRepeats {
					ctx, cancel := context.WithCancel(t.Context())
					g, err := New(Settings{Name: "edge-1", Place: fleet.Place{Region: "east", Zone: "a"},
						CallerAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
						StoreAddress: "127.0.0.1:0", Timing: DefaultTiming(),
						Bounds: Bounds{Grace: 6 * time.Second, Drain: time.Second, ResendWindow: time.Second}},
						newFakeStore(), fakeSchema{}, fakeDialect{}, slog.New(slog.DiscardHandler))
					if err != nil {
						t.Fatal(err)
					}
					near, far := net.Pipe()
					conn, listener := newTestConn(t, near), &lateListener{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
					g.listener = listener
					if where == "inbox" {
						if err := g.inbox.Offer(acceptEvent{conn: far}); err != nil {
							t.Fatal(err)
						}
					} else {
						listener.conn <- far
					}
					conn.send(testPost)
					stop, stopNow := context.WithCancel(ctx)
					stopNow()
					ended := make(chan struct{})
					go g.accept(ctx)
					go func() {
						g.loop(ctx, stop)
						close(ended)
						cancel()
						_ = far.Close() // as the exit of the process does
					}()
					conn.expectRefusal("request on an accepted connection")
					answered := time.Now()
					_ = conn.Close()
					<-ended
					if elapsed := time.Since(answered); elapsed > 0 {
						t.Errorf("the stop ended %v after the last connection", elapsed)
					}
				}
			})
		})
	}
}

// Guards against a planned stop that resets connections which were opened and not accepted when the listener is closed, with the
// requests that have been sent on them (soak of kept connections, seed 6 beside load).
func TestPlannedStopAcceptsWaitingConnections(t *testing.T) {
	listener, err := tcp.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const count = 20
	for range count {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	g := &Gateway{listener: listener, closingIdle: make(chan struct{}), inbox: task.NewMailbox[any]("gateway", 2*count)}
	g.closeIdle()
	g.accept(t.Context()) // it runs late
	accepted := 0
	for g.inbox.Len() > 0 {
		if m, ok := (<-g.inbox.C()).(acceptEvent); ok {
			accepted++
			_ = m.conn.Close()
		}
	}
	if accepted != count {
		t.Errorf("%d of %d waiting connections are accepted", accepted, count)
	}
	if _, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		t.Error("the listener is not closed")
	}
}

// Guards against a planned stop that drops requests which were read together with an earlier one.
func TestPlannedStopAnswersBufferedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		close(test.leaving)
		close(test.closingIdle)
		conn := test.connect()
		conn.send(testPost + testPost + testHalfPost)
		conn.send(testOtherHalf)
		for range 3 {
			test.refuse()
		}
		for _, what := range []string{"first request", "second request", "third request"} {
			conn.expectRefusal(what)
		}
		conn.expectEnd()
	})
}

// Guards against a planned stop that a caller delays without end by always having sent a further request.
func TestPlannedStopIsBoundedWithPipelinedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		near, far := net.Pipe()
		conn, c := newTestConn(t, near), test.server.newCaller(context.Background(), far)
		c.stopFor(endStop, "leave")
		go c.read()
		go c.run()
		conn.send(strings.Repeat(testPost, 3*maxPipelined))
		passedOn := 0
		for answered := 0; test.refuse(); passedOn++ {
			for ; answered <= passedOn; answered++ {
				conn.expectRefusal("pipelined request")
			}
		}
		if passedOn > maxPipelined {
			t.Errorf("%d requests were passed on after the stop, want at most %d", passedOn, maxPipelined)
		}
		conn.expectEnd()
	})
}

// connectedSockets returns both ends of a connection of the kernel.
func connectedSockets(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	if near, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = near.Close() })
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = far.Close() })
	return near, far
}

// Guards against a close of a connection whose request arrived after the reading goroutine had looked for the last time, and
// before the task closed the connection.
func TestRequestBehindLastLookIsAnswered(t *testing.T) {
	for name, stop := range map[string]func(*caller){
		"idle timeout": func(c *caller) { c.stopFor(endIdle, "idle_timeout") },
		"planned stop": func(c *caller) { c.stopFor(endStop, "leave") },
	} {
		t.Run(name, func(t *testing.T) {
			test := newSocketTest(t)
			near, far := connectedSockets(t)
			c := test.server.newCaller(t.Context(), far)
			go c.read()
			stop(c)
			m := <-c.readEvents
			if _, ok := m.(readingStopped); !ok {
				t.Fatalf("reading goroutine reports %T", m)
			}
			if _, err := io.WriteString(near, testPost); err != nil {
				t.Fatal(err)
			}
			c.handle(m)
			ended := make(chan struct{})
			go func() {
				c.run()
				close(ended)
			}()
			go func() {
				select {
				case p := <-test.director.C():
					p.(placeRequest).reply(placeRefusal{reason: reasonNoRoom})
				case <-ended:
				}
			}()
			response, err := http.ReadResponse(bufio.NewReader(near), nil)
			if err != nil {
				t.Fatalf("connection ended without an answer: %v", err)
			}
			if response.StatusCode != http.StatusServiceUnavailable || !response.Close {
				t.Errorf("status %d, connection closes: %v", response.StatusCode, response.Close)
			}
			_ = near.Close()
			<-ended
		})
	}
}

// Guards against a read that fails after its deadline although the bytes have arrived.
func TestReadAfterDeadlineReturnsArrivedBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	near, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = near.Close() }()
	far, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = far.Close() }()
	if _, err := io.WriteString(near, "ab"); err != nil {
		t.Fatal(err)
	}
	reader, one := &arrivedReader{conn: far}, make([]byte, 1)
	if _, err := reader.Read(one); err != nil {
		t.Fatal(err)
	}
	if err := reader.setDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if _, err := reader.Read(one); err != nil || string(one) != "b" {
		t.Errorf("%q, %v", one, err)
	}
	if err := reader.setDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if _, err := reader.Read(one); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a read without bytes: %v", err)
	}
}
