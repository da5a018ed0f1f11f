package gateway

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/dispatch"
	"fuchsiahub.example/fuchsiahub/internal/decide/outlier"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

// slowServerTest is a director with idle servers, which are slow for a time. It runs in a synctest bubble.
type slowServerTest struct {
	t        *testing.T
	director *director
	route    *fleet.Route
	servers  []*server
	// reportsLoad is true if the servers report load, but not that they are slow.
	reportsLoad bool
}

func newSlowServerTest(t *testing.T, route *fleet.Route, reportsLoad bool) *slowServerTest {
	log := slog.New(slog.DiscardHandler)
	crashes, err := newCrashDetector(log)
	if err != nil {
		t.Fatal(err)
	}
	d := newDirector(fleet.Instance{Name: "edge-1", Place: fleet.Place{Zone: "a", Region: "east"}},
		&Settings{Bounds: Bounds{ResendWindow: time.Second}, Timing: DefaultTiming()}, nil, crashes, log,
		newCounters(metrics.NewRegistry()))
	config := &fleet.Config{Routes: []fleet.Route{*route,
		{Name: "urgent", Host: "h", Prefix: "/urgent/", Shares: route.Shares, LatencyTarget: time.Second}}}
	d.snapshot = &Snapshot{View: &fleet.View{Config: config, Backends: map[string][]*fleet.Backend{}},
		Routes: dispatch.NewTable(config)}
	s := &slowServerTest{t: t, director: d, route: route, reportsLoad: reportsLoad}
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		entry := &fleet.Backend{ID: id, Service: "s", Slots: 6, Place: d.self.Place}
		d.snapshot.Backends["s"] = append(d.snapshot.Backends["s"], entry)
		s.servers = append(s.servers, &server{entry: entry, roundTrip: assumedRTTZone, score: outlier.NewScore()})
		d.servers[entry.Incarnation()] = s.servers[len(s.servers)-1]
	}
	go func() { _ = d.run(t.Context()) }()
	synctest.Wait()
	return s
}

// run sends one request every 100 ms for a time, each of which takes the same time at its server. It returns the numbers of
// requests that were sent and that were served before their deadline.
func (s *slowServerTest) run(length, work time.Duration) (sent, served int) {
	s.t.Helper()
	for range int(length / (100 * time.Millisecond)) {
		sent++
		replies := make(chan any, 1)
		now := time.Now()
		s.checkServers(now)
		s.send(placeRequest{service: "s", route: s.route, firstCopy: true, deadline: now.Add(1500 * time.Millisecond),
			targetAt: now.Add(latencyTarget(s.route)), reply: func(m any) { replies <- m }})
		if g, ok := (<-replies).(*grant); ok {
			served++
			time.AfterFunc(work, func() {
				s.send(grantRelease{grant: g, succeeded: true, result: backend.Result{Fate: call.Answered, Elapsed: work,
					Answer: &call.Answer{Status: 200}}})
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	return sent, served
}

// checkServers gives each server a recent health check.
func (s *slowServerTest) checkServers(now time.Time) {
	for _, v := range s.servers {
		s.send(checkResult{server: v, result: backend.Result{Fate: call.Answered, Answer: &call.Answer{Status: 200},
			LoadKnown: s.reportsLoad, Slots: 6, Slowdown: 1, Elapsed: time.Millisecond}})
	}
	synctest.Wait()
}

func (s *slowServerTest) send(m any) {
	if err := s.director.inbox.Send(context.Background(), m); err != nil {
		s.t.Error(err)
	}
}

// Guards against a route that is refused for good after a slow period (review/3): its estimated service time is above what the
// request allows, and a refused request gives no new sample. Requests are refused because of their latency target, if the
// service has more urgent ones, and otherwise because of their deadline.
func TestRouteIsServedAgainAfterSlowPeriod(t *testing.T) {
	for name, c := range map[string]struct {
		priority    int
		reportsLoad bool
		slow        time.Duration
	}{
		"low priority":                {2, false, 880 * time.Millisecond},
		"low priority, load reported": {2, true, 880 * time.Millisecond},
		"deadline":                    {0, false, 4 * time.Second},
		"deadline, load reported":     {0, true, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSlowServerTest(t, &fleet.Route{Name: "lookup", Host: "h", Prefix: "/lookup/", Priority: c.priority,
					Shares: []fleet.ServiceShare{{Service: "s", Weight: 1}}, LatencyTarget: 600 * time.Millisecond}, c.reportsLoad)
				s.run(time.Minute, c.slow)
				time.Sleep(5 * time.Second)
				_, slowServed := s.run(20*time.Second, c.slow)
				if slowServed > 25 {
					t.Errorf("%d requests in 20 s are sent to servers that are still slow", slowServed)
				}
				s.run(10*time.Second, 220*time.Millisecond)
				if sent, served := s.run(20*time.Second, 220*time.Millisecond); 4*served < 3*sent {
					t.Errorf("%d of %d requests are served although the servers have been quick for 10 s", served, sent)
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// Guards against a route without a latency target that is always refused where the service has more urgent requests: without
// a target, each request counted as late when it arrived.
func TestRouteWithoutLatencyTargetIsNotLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		f := lateForward(t, test, &fleet.Route{Name: "r", Host: "h", Prefix: "/", Shares: []fleet.ServiceShare{{Service: "s", Weight: 1}}}, time.Millisecond)
		f.placing = false
		f.requestServer()
		for {
			if m, ok := (<-f.director.C()).(placeRequest); ok {
				if late := f.receivedAt.Add(assumedLatencyTarget); !m.targetAt.Equal(late) {
					t.Errorf("the target is %s after the arrival, want %s", m.targetAt.Sub(f.receivedAt), assumedLatencyTarget)
				}
				return
			}
		}
	})
}
