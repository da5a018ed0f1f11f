package gateway

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/outlier"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

// endlessAnswer returns a dialer for servers in memory that answer with a start and then a part repeated until the
// connection is closed. The channel receives the number of bytes that the server could send.
func endlessAnswer(start, repeated string) (backend.Dialer, <-chan int) {
	ended := make(chan int, 1)
	return func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				return // the connection was not used
			}
			sent, err := server.Write([]byte(start))
			for n := 0; err == nil && sent < 1<<20; sent += n {
				n, err = server.Write([]byte(repeated))
			}
			ended <- sent
		}()
		return client, nil
	}, ended
}

// Guards against health checks that keep much of an endless answer in memory, one for each server, and against a server
// with such an answer that counts as healthy.
func TestEndlessAnswerToHealthCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial, ended := endlessAnswer("HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "x")
		factory, err := backend.NewPoolFactory(dial, anyAnswer{}, nil)
		if err != nil {
			t.Fatal(err)
		}
		s := &server{entry: &fleet.Backend{ID: "i-1"}, pool: factory.NewPool("10.0.0.1:80", backend.PoolSize{MaxConnections: 1})}
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() { _ = s.pool.Run(ctx); close(stopped) }()
		results := make(chan backend.Result, 1)
		s.sendCheck(ctx, time.Second, fleet.Service{HealthPath: "/healthz"}, func(r backend.Result) { results <- r })
		if r := <-results; r.Answer != nil || r.ConnectionRefused || !backend.IsInvalidAnswer(r.Err) {
			t.Errorf("result %+v", r)
		}
		if sent := <-ended; sent > 32<<10 {
			t.Errorf("the server could send %d bytes of a health answer", sent)
		}
		cancel()
		<-stopped
	})
}

// anyAnswer is a codec that takes each answer as the answer to the request.
type anyAnswer struct{}

func (anyAnswer) Encode(http.Header, *call.Request, time.Time) {}

func (anyAnswer) Decode(*backend.Result, int, http.Header) {}

func (anyAnswer) CheckOwnership(*call.Request, bool, int, http.Header) backend.Ownership {
	return backend.OwnAnswer
}

// Guards against an invalid answer of a server that counts as a sign of a crash, although the connection did not break, and
// against one that leaves the score of the server unchanged.
func TestInvalidAnswerCountsAsFailureAndNotAsCrash(t *testing.T) {
	for name, c := range map[string]struct {
		err     error
		strikes int
	}{
		"invalid answer":    {fault.New(fault.BadBackend, "", "bytes of the server are no answer"), 0},
		"broken connection": {io.ErrUnexpectedEOF, 1},
	} {
		t.Run(name, func(t *testing.T) {
			crashes, err := newCrashDetector(slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			d := newDirector(fleet.Instance{}, &Settings{}, nil, crashes, slog.New(slog.DiscardHandler), newCounters(metrics.NewRegistry()))
			now := time.Unix(1000, 0)
			s := &server{entry: &fleet.Backend{ID: "i-1"}, score: outlier.NewScore(), checkInFlight: true, inFlight: 1}
			d.releaseGrant(t.Context(), now, grantRelease{grant: &grant{server: s}, result: backend.Result{Fate: call.MaybeRun, Err: c.err}})
			if v := s.score.Value(now); v > 0.6 || s.inFlight != 0 {
				t.Errorf("score %.2f, %d copies in flight", v, s.inFlight)
			}
			d.crashes.serverChecked(now, s.entry, backend.Result{ConnectionRefused: true})
			if n := len(d.crashes.toStore.C()); n != c.strikes {
				t.Errorf("%d strikes, want %d", n, c.strikes)
			}
		})
	}
}

// Guards against checks that go on to look for a crash after an invalid answer, which shows that the server runs.
func TestInvalidHealthAnswerShowsThatServerRuns(t *testing.T) {
	crashes, err := newCrashDetector(slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	d := newDirector(fleet.Instance{}, &Settings{}, nil, crashes, slog.New(slog.DiscardHandler), newCounters(metrics.NewRegistry()))
	now := time.Unix(1000, 0)
	s := &server{entry: &fleet.Backend{ID: "i-1"}, crashChecksLeft: maxCrashChecks}
	invalid := backend.Result{Fate: call.MaybeRun, Err: fault.New(fault.BadBackend, "", "bytes of the server are no answer")}
	d.applyCheck(t.Context(), now, checkResult{server: s, result: invalid})
	if !s.unresponsive || s.crashChecksLeft != 0 {
		t.Errorf("unresponsive %v, %d checks left", s.unresponsive, s.crashChecksLeft)
	}
}
