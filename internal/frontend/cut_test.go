package frontend_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/frontend"
	"fuchsiahub.example/fuchsiahub/internal/metric"
	"fuchsiahub.example/fuchsiahub/internal/standin/memnet"
)

// holdingServer answers requests only when their context ends, unless it has an answer.
type holdingServer struct{ answer *call.Answer }

func (holdingServer) MaxBody(string) (int64, error) { return 8, nil }

func (s holdingServer) Do(ctx context.Context, _ *call.Request) (*call.Answer, error) {
	if s.answer != nil {
		return s.answer, nil
	}
	<-ctx.Done()
	return nil, fault.New(fault.OutcomeUnknown, "check first", "cancelled")
}

// cutLine returns the line about the end of a connection, or nil.
func cutLine(t *testing.T, log []byte) map[string]any {
	t.Helper()
	for line := range bytes.Lines(log) {
		fields := map[string]any{}
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatal(err)
		}
		if fields["msg"] == "connection of a caller ended with requests in hand" {
			return fields
		}
	}
	return nil
}

// checkCut checks the line about a connection that ended, and the counters.
func checkCut(t *testing.T, log []byte, metrics *metric.Set, cause string, beingRead bool) {
	t.Helper()
	line, unanswered := cutLine(t, log), int64(1)
	if beingRead {
		unanswered = 0
	}
	if line == nil {
		t.Fatalf("there is no line about the end of the connection: %s", log)
	}
	if line["cause"] != cause || line["being_read"] != beingRead || line["unanswered"] != float64(unanswered) ||
		line["level"] != "WARN" {
		t.Errorf("line %v, want cause %s", line, cause)
	}
	if list, _ := line["requests"].([]any); len(list) != 1 || list[0] != "r-1" {
		t.Errorf("requests in hand are %v, want r-1", line["requests"])
	}
	if n := metrics.Counters()["request.cut."+cause]; n != unanswered {
		t.Errorf("%d requests were cut for %s, want %d", n, cause, unanswered)
	}
}

// Guards against a connection that ends without an answer, a line or a counter.
func TestCutRequestIsReported(t *testing.T) {
	stream := brokenStream{io.MultiReader(strings.NewReader("x"), errReader{})}
	for name, c := range map[string]struct {
		server    holdingServer
		sent      string
		end       func(conn net.Conn, front *http.Server, ending chan struct{})
		cause     string
		beingRead bool
	}{
		"caller gives up": {sent: "report", cause: "caller-closed",
			end: func(conn net.Conn, _ *http.Server, _ chan struct{}) { _ = conn.Close() }},
		"caller ends within a body": {sent: "rep", cause: "caller-closed", beingRead: true,
			end: func(conn net.Conn, _ *http.Server, _ chan struct{}) { _ = conn.Close() }},
		"end of the process": {sent: "report", cause: "process",
			end: func(_ net.Conn, front *http.Server, ending chan struct{}) {
				close(ending)
				_ = front.Close()
			}},
		"broken stream": {server: holdingServer{&call.Answer{Status: 200, Length: -1, Stream: stream}}, sent: "report",
			cause: "stream", end: func(conn net.Conn, _ *http.Server, _ chan struct{}) { _, _ = io.Copy(io.Discard, conn) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				metrics, ending, listener := metric.NewSet(), make(chan struct{}), memnet.Listen()
				front := &http.Server{Handler: frontend.NewHandler(c.server, func() string { return "r-1" },
					frontend.WithLog(slog.New(slog.NewJSONHandler(&log, nil))), frontend.WithCutCounter(metrics.Cut),
					frontend.WithProcessEnding(ending))}
				go func() { _ = front.Serve(listener) }() // ends with Close
				conn, err := listener.Dial(t.Context(), "", "")
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: intake\r\nContent-Length: 6\r\n\r\n"+c.sent); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
				c.end(conn, front, ending)
				synctest.Wait()
				_ = conn.Close()
				_ = front.Close()
				synctest.Wait()
				checkCut(t, log.Bytes(), metrics, c.cause, c.beingRead)
			})
		})
	}
}

// failingWriter is a response whose connection does not take the body.
type failingWriter struct{ *httptest.ResponseRecorder }

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// Guards against an answer that cannot be written and leaves no trace.
func TestFailedWriteIsReported(t *testing.T) {
	for name, answer := range map[string]*call.Answer{
		"short answer": {Status: 200, Body: []byte("x")},
		"long answer":  {Status: 200, Length: -1, Stream: io.NopCloser(strings.NewReader("x"))},
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			metrics := metric.NewSet()
			handler := frontend.NewHandler(holdingServer{answer}, func() string { return "r-1" },
				frontend.WithLog(slog.New(slog.NewJSONHandler(&log, nil))), frontend.WithCutCounter(metrics.Cut))
			defer func() {
				if aborted := recover() != nil; aborted != (answer.Stream != nil) {
					t.Errorf("the connection is aborted: %v", aborted)
				}
				checkCut(t, log.Bytes(), metrics, "write-failed", false)
			}()
			handler.ServeHTTP(failingWriter{httptest.NewRecorder()}, httptest.NewRequest("POST", "/", strings.NewReader("report")))
		})
	}
}

// Guards against a complete answer that is reported as cut off.
func TestAnsweredRequestIsNotReportedAsCut(t *testing.T) {
	for _, method := range []string{"GET", "HEAD"} {
		var log bytes.Buffer
		metrics := metric.NewSet()
		front := httptest.NewServer(frontend.NewHandler(holdingServer{&call.Answer{Status: 200, Body: []byte("x")}},
			func() string { return "r-1" }, frontend.WithLog(slog.New(slog.NewJSONHandler(&log, nil))),
			frontend.WithCutCounter(metrics.Cut)))
		request, err := http.NewRequest(method, front.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = answer.Body.Close()
		front.Close()
		if line := cutLine(t, log.Bytes()); line != nil {
			t.Errorf("%s: line %v", method, line)
		}
	}
}
