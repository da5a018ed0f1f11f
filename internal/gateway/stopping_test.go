package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/tcp"
)

// Guards against a planned stop that passes on requests which arrive late in the grace period and are cut off at its end
// (report of an operator: among them were requests that may not be repeated). At each moment of the stop, and however the
// request arrives, it is either refused at once or passed on with a deadline that leaves it time to end.
func TestPlannedStopPassesOnOnlyWhatCanEnd(t *testing.T) {
	const length = 5700 * time.Millisecond // from the stop signal to the end of the process
	for _, arrival := range []string{"half read", "pipelined", "kept connection", "new connection", "in the socket"} {
		halfRead := arrival == "half read" || arrival == "pipelined"
		for at := 50 * time.Millisecond; at < length; at += 450 * time.Millisecond {
			if halfRead && at > defaultHeaderTimeout {
				continue // the header has not arrived in time, which is refused as not run too
			}
			t.Run(fmt.Sprint(arrival, " at ", at), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					test := newConnectionTest(t)
					ends := time.Now().Add(length)
					var conn *testConn
					passedOn := 0
					switch arrival {
					case "half read":
						conn = test.connect()
						conn.send(testHalfPost)
					case "pipelined":
						conn = test.connect()
						conn.send(testPost + testHalfPost)
						passedOn = 1
					case "kept connection":
						conn = test.connect()
						conn.send(testPost)
						synctest.Wait()
						test.refuse()
						conn.expectRefusal("first request")
					}
					synctest.Wait()
					test.stop.begin(ends)
					time.Sleep(at)
					switch arrival {
					case "half read", "pipelined":
						conn.send(testOtherHalf)
					case "kept connection":
						conn.send(testPost)
					case "new connection":
						conn = test.connect()
						conn.send(testPost)
					case "in the socket":
						near, far := net.Pipe()
						conn = newTestConn(t, near)
						conn.send(testPost)
						go test.server.serve(t.Context(), far)
					}
					synctest.Wait()
					arrived := time.Now()
					for range passedOn {
						test.refuse()
						conn.expectRefusal("request passed on before the stop")
					}
					select {
					case m := <-test.director.C():
						p := m.(placeRequest)
						if left := ends.Add(-stopReserve).Sub(arrived); p.deadline.Sub(arrived) > left/stopSafety || !p.stopping {
							t.Errorf("the request may take %s, with %s left", p.deadline.Sub(arrived), left)
						}
						p.reply(placeRefusal{reason: reasonStopping, retryAfter: shortRetryAfter})
					default:
						if ends.Sub(arrived) > stopReserve {
							t.Errorf("the request is not passed on, with %s left", ends.Sub(arrived))
						}
					}
					if r := conn.expectRefusal("request during the stop"); r.StatusCode != http.StatusServiceUnavailable || !r.Close {
						t.Errorf("answer %d, closes the connection: %v", r.StatusCode, r.Close)
					}
					if waited := time.Since(arrived); waited > tcp.LookTime {
						t.Errorf("the refusal comes after %s", waited)
					}
					conn.expectEnd()
				})
			})
		}
	}
}

// Guards against a request that is sent to a backend server while the instance stops, although it is expected to take longer
// than half of the time that is left, and against one that tests an estimate then.
func TestPlannedStopRefusesWhatIsExpectedToTakeTooLong(t *testing.T) {
	for _, c := range []struct {
		left time.Duration
		sent bool
	}{{5 * time.Second, true}, {time.Second, false}, {100 * time.Millisecond, false}} {
		synctest.Test(t, func(t *testing.T) {
			s := newSlowServerTest(t, &fleet.Route{Name: "dispatch", Host: "h", Prefix: "/dispatch/",
				Shares: []fleet.ServiceShare{{Service: "s", Weight: 1}}, LatencyTarget: 800 * time.Millisecond}, true)
			s.run(10*time.Second, 700*time.Millisecond)
			time.Sleep(5 * time.Second) // the estimate is due for a test
			now := time.Now()
			s.checkServers(now)
			replies := make(chan any, 1)
			s.send(placeRequest{service: "s", route: s.route, firstCopy: true, stopping: true, deadline: now.Add(c.left / stopSafety),
				targetAt: now.Add(800 * time.Millisecond), reply: func(m any) { replies <- m }})
			switch m := (<-replies).(type) {
			case *grant:
				if !c.sent {
					t.Errorf("the request is sent with %s left", c.left)
				}
			case placeRefusal:
				if c.sent || m.reason != reasonStopping {
					t.Errorf("the request is refused with %s left: %s", c.left, m.reason.text)
				}
			}
		})
	}
}

// Guards against a request that runs longer than expected while the instance stops and whose caller gets no answer: its server
// is told when to give up, and the caller is answered before the process ends.
func TestPlannedStopAnswersBeforeProcessEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		ends := time.Now().Add(500 * time.Millisecond)
		test.stop.begin(ends)
		f := test.server.requests.newForward(t.Context(), &incomingRequest{host: "hotline", receivedAt: time.Now(),
			request: &call.Request{ID: "1", Method: http.MethodPost, Path: "/crew"}, callerTimeout: 10 * time.Second})
		factory, err := backend.NewPoolFactory(func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }() // the server works on and never answers
			return near, nil
		}, anyAnswer{}, nil)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		pool := factory.NewPool("10.0.0.1:80", backend.PoolSize{MaxConnections: 1})
		stopped := make(chan struct{})
		go func() { _ = pool.Run(ctx); close(stopped) }()
		go func() {
			m := (<-test.director.C()).(placeRequest)
			m.reply(&grant{entry: &fleet.Backend{ID: "i-1"}, pool: pool, grantedAt: time.Now()})
			for range test.director.C() {
				return // the grant is returned
			}
		}()
		if r := f.run(); r.status != http.StatusGatewayTimeout || !time.Now().Before(ends) {
			t.Errorf("answer %d, %s after the end of the process", r.status, time.Since(ends))
		}
		cancel()
		<-stopped
	})
}
