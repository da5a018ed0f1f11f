package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

// lateForward returns the task of a request whose copy has been answered, and which has not run since the copy was sent. The
// time passes after the answer.
func lateForward(t *testing.T, test *connectionTest, route *fleet.Route, passed time.Duration) *forward {
	t.Helper()
	factory, err := backend.NewPoolFactory(dialAnswering, anyAnswer{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	pool := factory.NewPool("10.0.0.1:80", backend.PoolSize{MaxConnections: 1})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { _ = pool.Run(ctx); close(stopped) }()
	f := test.server.requests.newForward(context.Background(), &incomingRequest{host: "hotline", receivedAt: time.Now(),
		request: &call.Request{ID: "1", Method: http.MethodPost, Path: "/crew"}, callerTimeout: time.Second})
	if _, ok := f.resolve(f.snapshots.Newest()); !ok {
		t.Fatal("no route")
	}
	f.machine = f.bound.New(f.receivedAt, f)
	f.fire("start")
	<-test.director.C() // the placement
	f.route = route
	f.handle(&grant{entry: &fleet.Backend{ID: "i-1"}, pool: pool, grantedAt: time.Now()})
	time.Sleep(passed)
	cancel()
	<-stopped
	if len(f.events) != 1 {
		t.Fatalf("%d messages wait for the task", len(f.events))
	}
	return f
}

// dialAnswering opens a connection to a server in memory that answers one request.
func dialAnswering(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
			return // the connection was not used
		}
		_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
	}()
	return client, nil
}

// Guards against a deadline that wins over an answer which came before it, while the task could not run.
func TestAnswerBeforeDeadlineIsDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		for range raceRepeats {
			f := lateForward(t, test, &fleet.Route{Name: "crew", Attempts: 1}, 2*time.Second)
			expiry := time.NewTimer(time.Until(f.deadline))
			for !f.machine.Final() {
				f.waitForEvent(expiry)
			}
			if f.machine.State() != "answered" {
				t.Errorf("the request ends as %s, status %d", f.machine.State(), f.reply.status)
			}
			for test.director.Len() > 0 {
				<-test.director.C()
			}
		}
	})
}

// Guards against a second copy of a request whose first answer has come, and against a server that counts as slow, because
// the instance was late.
func TestNoHedgeBehindAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		for range raceRepeats {
			f := lateForward(t, test, &fleet.Route{Name: "crew", Attempts: 2, Idempotent: true}, 500*time.Millisecond)
			expiry := time.NewTimer(time.Until(f.deadline))
			for !f.machine.Final() {
				f.waitForEvent(expiry)
			}
			for test.director.Len() > 0 {
				if m := <-test.director.C(); !isRelease(m) {
					t.Errorf("the director got %T", m)
				}
			}
		}
	})
}

func isRelease(m any) bool {
	_, ok := m.(grantRelease)
	return ok
}
