package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/decide/dispatch"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// plainDialect is a dialect without header fields of its own.
type plainDialect struct{ anyAnswer }

func (plainDialect) RequestInfo(http.Header) RequestInfo {
	return RequestInfo{ID: "r1", Timeout: time.Hour}
}

func (plainDialect) SetRequestID(http.Header, string) {}

// streamTimeout is the timeout of the route of a streamTest, longStreamTimeout that of its requests to /long/.
const (
	streamTimeout     = 2 * time.Second
	longStreamTimeout = time.Minute
)

// resettable notes that the connection will be reset when it is closed.
type resettable struct {
	net.Conn
	reset bool
}

func (c *resettable) SetLinger(seconds int) error {
	c.reset = seconds == 0
	return nil
}

// streamTest is one caller connection and one backend server, both in memory, in virtual time.
type streamTest struct {
	t        *testing.T
	caller   net.Conn
	accepted *resettable
	ended    chan struct{}
	reader   *bufio.Reader
	log      *bytes.Buffer
	counters *counters
	// told holds the messages to the director other than placements.
	told chan any
	// served receives a value when the server's connection has ended.
	served chan struct{}
}

// withStream runs a test whose backend server answers each request with a script. The connection to the server ends with the
// script.
func withStream(t *testing.T, script func(c net.Conn), test func(s *streamTest)) {
	synctest.Test(t, func(t *testing.T) {
		s := &streamTest{t: t, log: &bytes.Buffer{}, counters: newCounters(metrics.NewRegistry()), told: make(chan any, 16),
			served: make(chan struct{}, 16)}
		ctx, cancel := context.WithCancel(t.Context())
		dial := func(context.Context, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				defer func() { _ = server.Close() }()
				for r := bufio.NewReader(server); ; {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					script(server)
					s.served <- struct{}{}
				}
			}()
			return client, nil
		}
		factory, err := backend.NewPoolFactory(dial, plainDialect{}, nil)
		if err != nil {
			t.Fatal(err)
		}
		pool := factory.NewPool("10.0.0.1:80", backend.PoolSize{MaxConnections: 1})
		poolEnded := make(chan struct{})
		go func() { _ = pool.Run(ctx); close(poolEnded) }()
		inbox := task.NewMailbox[any]("director", 16)
		go s.direct(ctx, inbox, pool)

		shares := []fleet.ServiceShare{{Service: "atlas", Weight: 1}}
		config := &fleet.Config{Routes: []fleet.Route{
			{Name: "lookup", Host: "a.example", Prefix: "/", Timeout: streamTimeout, Shares: shares, Attempts: 1},
			{Name: "long", Host: "a.example", Prefix: "/long/", Timeout: longStreamTimeout, Shares: shares, Attempts: 1},
		}}
		snapshots := &SnapshotPublisher{}
		snapshots.newest.Store(&Snapshot{Routes: dispatch.NewTable(config), View: &fleet.View{Config: config, ConfigAsOf: time.Now(),
			Backends: map[string][]*fleet.Backend{"atlas": {{ID: "i-1"}}}}})
		log := slog.New(slog.NewTextHandler(s.log, nil))
		requests, err := newForwarder(snapshots, inbox, plainDialect{}, &plannedStop{leaving: make(chan struct{})}, 0, log, s.counters)
		if err != nil {
			t.Fatal(err)
		}
		callers, err := newCallerServer(requests, plainDialect{}, snapshots, make(chan struct{}), make(chan struct{}), make(chan struct{}))
		if err != nil {
			t.Fatal(err)
		}
		var accepted net.Conn
		s.caller, accepted = net.Pipe()
		s.accepted = &resettable{Conn: accepted}
		s.reader = bufio.NewReader(s.caller)
		s.ended = make(chan struct{})
		go func() { callers.serve(ctx, s.accepted); close(s.ended) }()
		test(s)
		_ = s.caller.Close()
		<-s.ended
		cancel()
		<-poolEnded
	})
}

// direct grants each placement and passes the other messages on to the test.
func (s *streamTest) direct(ctx context.Context, inbox *task.Mailbox[any], pool *backend.Pool) {
	for {
		select {
		case m := <-inbox.C():
			if p, ok := m.(placeRequest); ok {
				p.reply(&grant{entry: &fleet.Backend{ID: "i-1"}, pool: pool, grantedAt: time.Now()})
				continue
			}
			s.told <- m
		case <-ctx.Done():
			return
		}
	}
}

// get sends a request and returns the answer, its body as far as it came and the error that ended the body.
func (s *streamTest) get(path, version string) (*http.Response, string, error) {
	s.t.Helper()
	if _, err := fmt.Fprintf(s.caller, "GET %s HTTP/%s\r\nHost: a.example\r\nConnection: keep-alive\r\n\r\n", path, version); err != nil {
		s.t.Fatal(err)
	}
	response, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// getWhile does the same for a caller of HTTP/1.1 that does something after it has read the head.
func (s *streamTest) getWhile(path string, then func()) (*http.Response, string, error) {
	s.t.Helper()
	if _, err := fmt.Fprintf(s.caller, "GET %s HTTP/1.1\r\nHost: a.example\r\n\r\n", path); err != nil {
		s.t.Fatal(err)
	}
	response, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	then()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

var longBody = strings.Repeat("0123456789abcdef", 3*backend.MaxBufferedAnswerBytes/16)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const chunkedAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against a long answer without a length that the caller cannot tell from a truncated one, and whose end it learns
// only when the idle timeout closes the connection.
func TestLongChunkedAnswerEndsByItself(t *testing.T) {
	withStream(t, func(c net.Conn) { _, _ = io.WriteString(c, chunkedAnswer+chunk(longBody)+"0\r\n\r\n") }, func(s *streamTest) {
		for range 2 {
			start := time.Now()
			response, text, err := s.get("/x", "1.1")
			if err != nil || text != longBody || response.Close {
				t.Errorf("%d of %d bytes, error %v, connection closes: %v", len(text), len(longBody), err, response.Close)
			}
			if elapsed := time.Since(start); elapsed > 0 {
				t.Errorf("the answer ended after %s", elapsed)
			}
			if response.Close {
				return
			}
		}
	})
}

// Guards against a truncated long answer that looks complete to the caller.
func TestTruncatedLongAnswerDoesNotLookComplete(t *testing.T) {
	for name, answer := range map[string]string{
		"chunked":        chunkedAnswer + chunk(longBody) + "8\r\nhalf",
		"between chunks": chunkedAnswer + chunk(longBody),
		"with a length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 2*len(longBody)) + longBody,
	} {
		t.Run(name, func(t *testing.T) {
			withStream(t, func(c net.Conn) {
				_, _ = io.WriteString(c, answer)
				_ = c.Close()
			}, func(s *streamTest) {
				if response, text, err := s.get("/x", "1.1"); err == nil {
					t.Errorf("%d bytes look complete, length %d, coding %v", len(text), response.ContentLength, response.TransferEncoding)
				}
				s.checkCutAnswer(true)
			})
		})
	}
}

// Guards the same for a caller of HTTP/1.0, to whom only the end of the connection shows the end of a body without a length:
// the connection has to end at once, and with a reset if the answer is truncated.
func TestLongAnswerToOldCaller(t *testing.T) {
	for name, end := range map[string]string{"complete": "0\r\n\r\n", "truncated": "8\r\nhalf"} {
		t.Run(name, func(t *testing.T) {
			withStream(t, func(c net.Conn) {
				_, _ = io.WriteString(c, chunkedAnswer+chunk(longBody)+end)
				_ = c.Close()
			}, func(s *streamTest) {
				start := time.Now()
				response, _, _ := s.get("/x", "1.0")
				if elapsed := time.Since(start); elapsed > 0 || !response.Close || len(response.TransferEncoding) > 0 {
					t.Errorf("the answer ended after %s, coding %v", elapsed, response.TransferEncoding)
				}
				if <-s.ended; s.accepted.reset != (name == "truncated") {
					t.Errorf("connection is reset: %v", s.accepted.reset)
				}
			})
		})
	}
}

// Guards against an answer that outlasts the deadline of its request: the server would hold the connection, and the caller
// an answer that never ends.
func TestStreamEndsAtDeadline(t *testing.T) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 1<<30)
	for name, c := range map[string]struct {
		start, repeated string
		pause           time.Duration
	}{
		"trickle with a length": {head + longBody, "x", 50 * time.Millisecond},
		"trickle of chunks":     {chunkedAnswer + chunk(longBody), "1\r\nx\r\n", 50 * time.Millisecond},
		"trickle of parts":      {chunkedAnswer + chunk(longBody), chunk(longBody[:4<<10]), 300 * time.Millisecond},
		"silence":               {head + longBody, "x", time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			withStream(t, func(server net.Conn) {
				_, err := io.WriteString(server, c.start)
				for sent := 0; err == nil && sent < 1<<20; sent += len(c.repeated) {
					time.Sleep(c.pause)
					_, err = io.WriteString(server, c.repeated)
				}
				_ = server.Close()
			}, func(s *streamTest) {
				start := time.Now()
				_, text, err := s.get("/x", "1.1")
				if err == nil || len(text) < backend.MaxBufferedAnswerBytes {
					t.Errorf("%d bytes, error %v, want a truncated answer", len(text), err)
				}
				if elapsed := time.Since(start); elapsed != streamTimeout+answerSlack {
					t.Errorf("the answer ended after %s, the deadline is %s", elapsed, streamTimeout)
				}
				<-s.served
				s.checkCutAnswer(true)
			})
		})
	}
}

// checkCutAnswer checks that the end of a long answer is counted and logged once, and that the director learns of it if the
// server was the cause.
func (s *streamTest) checkCutAnswer(serverFailed bool) {
	s.t.Helper()
	_ = s.caller.Close()
	<-s.ended
	synctest.Wait()
	lines := strings.Count(s.log.String(), "long answer of a backend server was cut off")
	failures := 0
	for len(s.told) > 0 {
		if _, ok := (<-s.told).(streamFailure); ok {
			failures++
		}
	}
	if n := s.counters.cutAnswers.Count(); n != 1 || lines != 1 || (failures == 1) != serverFailed || failures > 1 {
		s.t.Errorf("%d counted, %d lines, %d failures of the server; the server failed: %v", n, lines, failures, serverFailed)
	}
}

// Guards against a caller that does not read and makes a sound server count as failing.
func TestUnreadStreamIsNoFailureOfServer(t *testing.T) {
	withStream(t, func(server net.Conn) { _, _ = io.WriteString(server, chunkedAnswer+chunk(longBody)+"0\r\n\r\n") },
		func(s *streamTest) {
			if _, err := io.WriteString(s.caller, "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(streamTimeout + time.Second)
			if _, err := io.Copy(io.Discard, s.caller); err != nil {
				t.Error(err)
			}
			<-s.served
			s.checkCutAnswer(false)
		})
}

// Guards against a caller that leaves in the middle of a long answer and makes a sound server count as failing.
func TestCallerLeavingStreamIsNoFailureOfServer(t *testing.T) {
	withStream(t, func(server net.Conn) {
		_, _ = io.WriteString(server, chunkedAnswer+chunk(longBody))
		time.Sleep(time.Second)
		_, _ = io.WriteString(server, chunk(longBody)+"0\r\n\r\n")
	}, func(s *streamTest) {
		if _, err := io.WriteString(s.caller, "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(s.caller, make([]byte, len(longBody))); err != nil {
			t.Fatal(err)
		}
		_ = s.caller.Close()
		<-s.served
		<-s.ended
		synctest.Wait()
		if n := s.counters.cutAnswers.Count(); n != 0 || strings.Contains(s.log.String(), "cut off") {
			t.Errorf("%d answers counted as cut off", n)
		}
	})
}

// Guards against a long answer that is cut off although its deadline is far and the caller reads it.
func TestSlowStreamEndsCompletely(t *testing.T) {
	const parts = 30
	part := longBody[:8<<10]
	withStream(t, func(server net.Conn) {
		_, err := io.WriteString(server, chunkedAnswer+chunk(longBody))
		for range parts {
			time.Sleep(time.Second)
			if err == nil {
				_, err = io.WriteString(server, chunk(part))
			}
		}
		_, _ = io.WriteString(server, "0\r\n\r\n")
	}, func(s *streamTest) {
		if _, text, err := s.get("/long/x", "1.1"); err != nil || len(text) != len(longBody)+parts*len(part) {
			t.Errorf("%d of %d bytes, error %v", len(text), len(longBody)+parts*len(part), err)
		}
		<-s.served
	})
}

// Guards against a backend server that works on for a caller that has left, while the rest of a long answer is awaited.
func TestCallerLeavingSilentStreamEndsIt(t *testing.T) {
	withStream(t, func(server net.Conn) {
		_, _ = io.WriteString(server, chunkedAnswer+chunk(longBody))
		start := time.Now()
		_, _ = server.Read(make([]byte, 1)) // returns when the instance closes the connection
		if elapsed := time.Since(start); elapsed > 0 {
			t.Errorf("the connection to the server ended after %s", elapsed)
		}
	}, func(s *streamTest) {
		if _, err := io.WriteString(s.caller, "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.Copy(io.Discard, s.caller) }()
		synctest.Wait()
		_ = s.caller.Close()
		<-s.served
		<-s.ended
		if n := s.counters.cutAnswers.Count(); n != 0 {
			t.Errorf("%d answers counted as cut off", n)
		}
	})
}

// Guards against requests that are lost, or answered out of order, when they arrive while a long answer is written.
func TestRequestsBehindStreamAreAnswered(t *testing.T) {
	served := 0
	withStream(t, func(server net.Conn) {
		if served++; served > 1 {
			_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext")
			return
		}
		_, _ = io.WriteString(server, chunkedAnswer+chunk(longBody))
		time.Sleep(time.Second)
		_, _ = io.WriteString(server, "0\r\n\r\n")
	}, func(s *streamTest) {
		_, first, err := s.getWhile("/x", func() {
			if _, err := io.WriteString(s.caller, strings.Repeat("GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n", 2)); err != nil {
				t.Error(err)
			}
		})
		if err != nil || first != longBody {
			t.Errorf("%d bytes, error %v", len(first), err)
		}
		for range 2 {
			response, err := http.ReadResponse(s.reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if text, err := io.ReadAll(response.Body); err != nil || string(text) != "next" {
				t.Errorf("got %q, error %v", text, err)
			}
		}
	})
}

// Guards against pipelined requests that sound servers run and that get no answer because the server of a long answer before
// them breaks it off: only the end of the connection could show a caller that a part of an answer is not the whole.
func TestRequestsBehindBrokenStreamAreAnswered(t *testing.T) {
	for name, framing := range map[string]string{
		"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(longBody)),
		"chunked": chunkedAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			requests := 0
			var begun, allSent chan struct{}
			withStream(t, func(c net.Conn) {
				requests++
				if requests == 1 {
					close(begun)
					<-allSent
					text := longBody[:len(longBody)/2]
					if name == "chunked" {
						text = chunk(longBody)[:len(longBody)/2]
					}
					_, _ = io.WriteString(c, framing+text)
					_ = c.Close()
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}, func(s *streamTest) {
				begun, allSent = make(chan struct{}), make(chan struct{})
				send := func(count int) {
					if _, err := io.WriteString(s.caller, strings.Repeat("GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n", count)); err != nil {
						t.Fatal(err)
					}
					synctest.Wait()
				}
				send(1)
				<-begun
				send(2)
				close(allSent)
				for n, want := range []int{http.StatusBadGateway, http.StatusOK, http.StatusOK} {
					r, err := http.ReadResponse(s.reader, nil)
					if err != nil {
						t.Fatalf("request %d has no answer: %v", n+1, err)
					}
					if _, err := io.ReadAll(r.Body); err != nil || r.StatusCode != want {
						t.Errorf("request %d: status %d, want %d, %v", n+1, r.StatusCode, want, err)
					}
				}
			})
		})
	}
}

// Guards against a request that is passed on while a long answer before it is being written, and lost if that is broken off.
func TestRequestDuringStreamIsPassedOnAfterIt(t *testing.T) {
	requests := 0
	withStream(t, func(c net.Conn) {
		requests++
		if requests == 1 {
			_, _ = io.WriteString(c, chunkedAnswer+chunk(longBody))
			time.Sleep(time.Second)
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}, func(s *streamTest) {
		_, text, err := s.getWhile("/long/x", func() {
			go func() { _, _ = io.WriteString(s.caller, "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n") }()
			time.Sleep(500 * time.Millisecond)
			if n := s.counters.requests.Count(); n != 1 {
				t.Errorf("%d requests are passed on while a long answer is written", n)
			}
		})
		if err != nil || text != longBody {
			t.Errorf("%d bytes, %v", len(text), err)
		}
		if r, err := http.ReadResponse(s.reader, nil); err != nil || r.StatusCode != http.StatusOK {
			t.Errorf("the request behind the long answer: %v, %v", r, err)
		}
	})
}
