package daemon

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/standin/memnet"
)

// Guards against a drain that aborts requests in flight or accepts new connections. TestStopUnderLoadCutsNoRequest does
// not cover this, because its callers stop sending when the drain begins.
func TestDrainWaitsForRequestInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener, finish := memnet.Listen(), make(chan struct{})
		slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { <-finish; w.WriteHeader(http.StatusAccepted) })
		w := &httpServers{callers: newHTTPServer(slow, slog.New(slog.DiscardHandler)), connections: newCallerConnections()}
		w.listeners.callers = listener
		client := &http.Client{Transport: &http.Transport{DialContext: listener.Dial, DisableKeepAlives: true}}
		served, answered, drained := make(chan error, 1), make(chan int, 1), make(chan error, 1)
		go func() { served <- w.serveCallers(t.Context()) }()
		go func() {
			resp, err := client.Get("http://entry/")
			if err != nil {
				t.Errorf("request in flight: %v", err)
				answered <- 0
				return
			}
			_ = resp.Body.Close()
			answered <- resp.StatusCode
		}()
		synctest.Wait()
		go func() { drained <- w.drain(context.Background()) }()
		synctest.Wait()
		select {
		case err := <-drained:
			t.Errorf("the drain returned while a request was in flight: %v", err)
			drained <- err
		default:
		}
		if _, err := client.Get("http://entry/"); err == nil {
			t.Error("a new connection was accepted during the drain")
		}
		close(finish)
		if status := <-answered; status != http.StatusAccepted {
			t.Errorf("status %d", status)
		}
		if err := <-drained; err != nil {
			t.Errorf("drain: %v", err)
		}
		if err := <-served; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
}

// Guards against requests that the end of the process cuts off and that are reported as given up by their callers.
func TestEndOfProcessIsReportedBeforeConnectionsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener, ending, cut := memnet.Listen(), make(chan struct{}), make(chan bool, 1)
		held := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			select {
			case <-ending:
				cut <- true
			default:
				cut <- false
			}
		})
		w := &httpServers{callers: newHTTPServer(held, slog.New(slog.DiscardHandler)),
			operations: newHTTPServer(held, slog.New(slog.DiscardHandler)), connections: newCallerConnections(), ending: ending}
		w.listeners.callers = listener
		client := &http.Client{Transport: &http.Transport{DialContext: listener.Dial, DisableKeepAlives: true}}
		go func() { _ = w.serveCallers(t.Context()) }() // ends with close
		go func() {
			if answer, err := client.Get("http://entry/"); err == nil {
				_ = answer.Body.Close()
			}
		}()
		synctest.Wait()
		w.close()
		if !<-cut {
			t.Error("the connections were closed before the end of the process was announced")
		}
	})
}

// drainTest serves requests over connections in memory. It answers 202.
type drainTest struct {
	listener *memnet.Listener
	servers  *httpServers
	served   chan error
}

func newDrainTest(t *testing.T, wrap ...func(net.Listener) net.Listener) *drainTest {
	accept := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusAccepted)
	})
	d := &drainTest{listener: memnet.Listen(), served: make(chan error, 1), servers: &httpServers{
		callers:    newHTTPServer(accept, slog.New(slog.DiscardHandler)),
		operations: newHTTPServer(accept, slog.New(slog.DiscardHandler)), connections: newCallerConnections(), ending: make(chan struct{})}}
	d.servers.listeners.callers = d.listener
	for _, w := range wrap {
		d.servers.listeners.callers = w(d.listener)
	}
	go func() { d.served <- d.servers.serveCallers(context.Background()) }()
	t.Cleanup(func() {
		d.servers.close()
		<-d.served
	})
	return d
}

func (d *drainTest) connect(t *testing.T) (net.Conn, *bufio.Reader) {
	conn, err := d.listener.Dial(t.Context(), "", "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

func sendText(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Errorf("connection was closed within a request: %v", err)
	}
	synctest.Wait()
}

func expectAccepted(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Errorf("connection ended without an answer: %v", err)
		return
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusAccepted {
		t.Errorf("status %d", response.StatusCode)
	}
}

const drainPost = "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 4\r\n\r\nmain"

// Guards against a drain that closes a connection on which a request has begun: net/http takes it for idle until the head
// is complete.
func TestDrainAnswersRequestHalfRead(t *testing.T) {
	for name, test := range map[string]struct {
		before bool
		begun  int
		wait   time.Duration
	}{
		"kept, first byte": {before: true, begun: 1}, "kept, half a head": {before: true, begun: 20},
		"kept, head": {before: true, begun: len(drainPost) - 4}, "new, half a head": {begun: 20, wait: 7 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDrainTest(t)
				conn, reader := d.connect(t)
				if test.before {
					sendText(t, conn, drainPost)
					expectAccepted(t, reader)
				}
				sendText(t, conn, drainPost[:test.begun])
				time.Sleep(test.wait)
				drained := make(chan error, 1)
				go func() { drained <- d.servers.drain(context.Background()) }()
				time.Sleep(time.Second)
				if len(drained) > 0 {
					t.Error("the drain returned while a request was read")
				}
				sendText(t, conn, drainPost[test.begun:])
				expectAccepted(t, reader)
				if err := <-drained; err != nil {
					t.Errorf("drain: %v", err)
				}
			})
		})
	}
}

// Guards against a drain that closes a connection on which the first byte of the next request was read while the one before
// was served: net/http reads it ahead.
func TestDrainAnswersRequestReadAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t)
		release := d.holdRequests()
		conn, reader := d.connect(t)
		sendText(t, conn, drainPost)
		sendText(t, conn, drainPost[:1])
		close(release)
		expectAccepted(t, reader)
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- d.servers.drain(context.Background()) }()
		time.Sleep(time.Second)
		if len(drained) > 0 {
			t.Error("the drain returned while a request was read")
		}
		sendText(t, conn, drainPost[1:])
		expectAccepted(t, reader)
		if err := <-drained; err != nil {
			t.Errorf("drain: %v", err)
		}
	})
}

// Guards against an idle timeout that closes a connection on which a request has begun: the server waits for four bytes.
func TestRequestBegunBeforeIdleTimeoutIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t)
		conn, reader := d.connect(t)
		sendText(t, conn, drainPost)
		expectAccepted(t, reader)
		time.Sleep(idleTimeout - time.Second)
		sendText(t, conn, drainPost[:1])
		time.Sleep(2 * time.Second)
		sendText(t, conn, drainPost[1:])
		expectAccepted(t, reader)
	})
}

// Guards against a caller that keeps a connection open by sending a head slowly.
func TestSlowHeadEndsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t)
		conn, reader := d.connect(t)
		start := time.Now()
		sendText(t, conn, drainPost[:20])
		if _, err := io.Copy(io.Discard, reader); err != nil { // the server may send an error answer
			t.Errorf("connection did not end: %v", err)
		}
		if elapsed := time.Since(start); elapsed > headerTimeout+time.Second {
			t.Errorf("connection ended after %v", elapsed)
		}
	})
}

// holdRequests makes the requests wait for the returned channel.
func (d *drainTest) holdRequests() chan struct{} {
	release, next := make(chan struct{}), d.servers.callers.Handler
	d.servers.callers.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-release
		next.ServeHTTP(w, r)
	})
	return release
}

// Guards against a drain that ends the read of a request whose first part was read together with the request before it.
func TestDrainAnswersRequestReadWithAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t)
		release := d.holdRequests()
		conn, reader := d.connect(t)
		sendText(t, conn, drainPost+drainPost[:20])
		drained := make(chan error, 1)
		go func() { drained <- d.servers.drain(context.Background()) }()
		synctest.Wait()
		close(release)
		expectAccepted(t, reader)
		time.Sleep(time.Second)
		sendText(t, conn, drainPost[20:])
		expectAccepted(t, reader)
		if err := <-drained; err != nil {
			t.Errorf("drain: %v", err)
		}
	})
}

// Guards against a drain that waits for the idle timeout of a connection whose request was served while it drained.
func TestDrainClosesConnectionBehindAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t)
		release := d.holdRequests()
		conn, reader := d.connect(t)
		sendText(t, conn, drainPost)
		drained := make(chan error, 1)
		go func() { drained <- d.servers.drain(context.Background()) }()
		synctest.Wait()
		close(release)
		expectAccepted(t, reader)
		start := time.Now()
		if err := <-drained; err != nil {
			t.Errorf("drain: %v", err)
		}
		if elapsed := time.Since(start); elapsed > time.Second {
			t.Errorf("the drain took %v after the answer", elapsed)
		}
	})
}

// Guards against an order to stop that ends the read of a request whose first byte came while the order was given.
func TestStopThatCrossesFirstByteDoesNotEndRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		connections := newCallerConnections()
		connections.open.Add(1)
		c := &callerConn{Conn: far, connections: connections, forgetStop: func() bool { return true }}
		defer func() { _ = c.Close() }()
		c.idle.Store(true)
		go func() { _, _ = io.WriteString(near, "PO") }()
		one := make([]byte, 1)
		if _, err := c.Read(one); err != nil {
			t.Fatal(err)
		}
		c.stopping.Store(true)
		if err := c.interrupt(); err != nil { // as an order to stop that looked before the first byte
			t.Fatal(err)
		}
		if _, err := c.Read(one); err != nil || string(one) != "O" {
			t.Errorf("read %q, error %v", one, err)
		}
	})
}

// Guards against a drain that waits for connections without a request.
func TestDrainClosesIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t)
		conn, reader := d.connect(t)
		sendText(t, conn, drainPost)
		expectAccepted(t, reader)
		start := time.Now()
		if err := d.servers.drain(context.Background()); err != nil {
			t.Errorf("drain: %v", err)
		}
		if elapsed := time.Since(start); elapsed > time.Second {
			t.Errorf("the drain took %v", elapsed)
		}
		if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("idle connection did not end: %v", err)
		}
	})
}

// Guards against a drain without an end because a request does not arrive completely.
func TestDrainIsBoundedWithRequestHalfRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t)
		conn, _ := d.connect(t)
		sendText(t, conn, drainPost[:20])
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		if err := d.servers.drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("drain: %v", err)
		}
	})
}

// Guards against a read that fails after its deadline although the bytes have arrived: the head of a request that the
// process read late would end with its connection.
func TestReadAfterDeadlineReturnsArrivedBytes(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = inner.Close() }()
	near, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = near.Close() }()
	far, err := (&callerListener{Listener: inner, connections: newCallerConnections()}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = far.Close() }()
	if _, err := io.WriteString(near, "ab"); err != nil {
		t.Fatal(err)
	}
	one := make([]byte, 1)
	if _, err := far.Read(one); err != nil {
		t.Fatal(err)
	}
	if err := far.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Read(one); err != nil || string(one) != "b" {
		t.Errorf("%q, %v", one, err)
	}
	if err := far.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Read(one); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a read without bytes: %v", err)
	}
}

// Guards against a drain that cuts a request half read on an encrypted connection.
func TestDrainAnswersEncryptedRequestHalfRead(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	certificates := certified.TLS.Certificates
	certified.Close()
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t, func(l net.Listener) net.Listener {
			return tls.NewListener(l, &tls.Config{Certificates: certificates, MinVersion: tls.VersionTLS13})
		})
		plain, _ := d.connect(t)
		conn := tls.Client(plain, &tls.Config{InsecureSkipVerify: true}) // the certificate is not what is tested
		reader := bufio.NewReader(conn)
		sendText(t, conn, drainPost)
		expectAccepted(t, reader)
		sendText(t, conn, drainPost[:20])
		drained := make(chan error, 1)
		go func() { drained <- d.servers.drain(context.Background()) }()
		time.Sleep(time.Second)
		sendText(t, conn, drainPost[20:])
		expectAccepted(t, reader)
		go func() { _, _ = io.Copy(io.Discard, conn) }() // reads the alert with which the server closes the connection
		if err := <-drained; err != nil {
			t.Errorf("drain: %v", err)
		}
	})
}

// Guards against connections that are reset by a stop, because they were opened and not accepted yet.
func TestStopAcceptsWaitingConnections(t *testing.T) {
	for _, built := range []bool{false, true} { // TLS builds a listener on another one
		base, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var listener net.Listener = base
		if built {
			listener = limitedListener{Listener: struct{ net.Listener }{base}, base: base}
		}
		const count = 20
		for range count {
			conn, err := net.Dial("tcp", base.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
		}
		if err := setDeadline(listener, time.Unix(1, 0)); err != nil {
			t.Fatal(err)
		}
		l := &callerListener{Listener: listener, connections: newCallerConnections()}
		for n := range count {
			conn, err := l.Accept()
			if err != nil {
				t.Fatalf("connection %d of %d is not accepted: %v", n+1, count, err)
			}
			_ = conn.Close()
		}
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("the listener is not closed: %v", err)
		}
	}
}
