package node_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/metric"
	"fuchsiahub.example/fuchsiahub/internal/node"
)

// endlessTimeout is the time until the deadline of the requests of withEndlessServer.
const endlessTimeout = 2 * time.Second

// withEndlessServer runs a test with one server of one slot, in memory and in virtual time. Its first connection gets a start
// and then a part repeated until it is closed, each further one a normal answer.
func withEndlessServer(t *testing.T, start, repeated string, test func(do func() (*call.Answer, error), metrics *metric.Set, log *bytes.Buffer)) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		dial := func(context.Context, string) (net.Conn, error) {
			dials++
			client, server := net.Pipe()
			endless := dials == 1
			go func() {
				defer func() { _ = server.Close() }()
				r := bufio.NewReader(server)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					if !endless {
						_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
						continue
					}
					sent, err := io.WriteString(server, start)
					for n := 0; err == nil && repeated != "" && sent < 8<<20; sent += n {
						n, err = io.WriteString(server, repeated)
					}
					_, _ = r.ReadByte() // returns when the connection is closed
					return
				}
			}()
			return client, nil
		}
		doc := &document.Service{
			Name: "intake", Owner: "dispatch", Routes: []document.Route{{Name: "all", Path: "/*"}},
			Servers: document.Servers{Slots: 1, Connections: 1, List: []document.Server{{Name: "intake-1", Address: "10.0.0.1:80", Zone: "permian-a"}}},
		}
		doc.ApplyDefaults()
		docs := &node.Documents{
			Services: map[string]*document.Service{"intake": doc},
			Fleet:    &document.Fleet{Name: "pecos", Regions: []document.Region{{Name: "permian", Zones: []string{"permian-a"}}}},
		}
		self := balance.Location{Region: "permian", Zone: "permian-a"}
		metrics, log := metric.NewSet(), &bytes.Buffer{}
		directory := node.NewDirectory(self, dial, slog.New(slog.NewTextHandler(log, nil))).WithoutKeepers().WithMetrics(metrics)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- directory.Run(ctx) }()
		if err := directory.Apply(ctx, docs); err != nil {
			t.Fatal(err)
		}
		server, err := node.NewServer(directory, self)
		if err != nil {
			t.Fatal(err)
		}
		test(func() (*call.Answer, error) {
			return server.Do(ctx, &call.Request{ID: "r1", Service: "intake", Method: "POST", Path: "/x", Deadline: time.Now().Add(endlessTimeout)})
		}, metrics, log)
		if answer, err := server.Do(ctx, &call.Request{ID: "r2", Service: "intake", Method: "POST", Path: "/x"}); err != nil || string(answer.Body) != "ok" {
			t.Errorf("next request: %+v, %v", answer, err)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// Guards against a slot that is not returned, an outcome that is reported as not run, and an end without a line or a counter,
// after a server has sent bytes without an end that are no answer.
func TestEndlessBytesAreInvalidAnswer(t *testing.T) {
	withEndlessServer(t, "HTTP/1.1 200 OK\r\nA: ", strings.Repeat("a", 4<<10), func(do func() (*call.Answer, error), metrics *metric.Set, log *bytes.Buffer) {
		start := time.Now()
		answer, err := do()
		if e := fault.As(err); answer != nil || e.Kind != fault.OutcomeUnknown || e.NotRun || time.Since(start) != 0 {
			t.Errorf("answer %+v, error %v after %s", answer, err, time.Since(start))
		}
		n, lines := metrics.Counters()["request.invalid_answers.intake"], strings.Count(log.String(), "answer of a backend server is invalid")
		if n != 1 || lines != 1 {
			t.Errorf("%d counted, %d lines: %s", n, lines, log)
		}
	})
}

// Guards against a long answer without an end that outlasts the deadline, looks complete or leaves no line and no counter.
func TestEndlessAnswerIsCutAtDeadline(t *testing.T) {
	withEndlessServer(t, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 2*backend.MaxBufferedAnswerBytes), "", func(do func() (*call.Answer, error), metrics *metric.Set, log *bytes.Buffer) {
		start := time.Now()
		answer, err := do()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, answer.Stream); err == nil || time.Since(start) != endlessTimeout {
			t.Errorf("error %v after %s", err, time.Since(start))
		}
		_ = answer.Stream.Close()
		n, lines := metrics.Counters()["request.cut_answers.intake"], strings.Count(log.String(), "long answer of a backend server was cut off")
		if n != 1 || lines != 1 {
			t.Errorf("%d counted, %d lines: %s", n, lines, log)
		}
	})
}
