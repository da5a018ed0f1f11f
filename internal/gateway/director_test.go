package gateway

import (
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/outlier"
	"fuchsiahub.example/fuchsiahub/internal/decide/placement"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

// Guards against a placement that considers unresponsive servers although enough others answer, and then refuses the
// request (incident inc-d99a).
func TestResponsiveServersAreSelectedFirst(t *testing.T) {
	settings := &Settings{Bounds: Bounds{ResendWindow: time.Second}}
	self := fleet.Instance{Name: "edge-1", Place: fleet.Place{Zone: "a", Region: "east"}}
	d := newDirector(self, settings, nil, nil, slog.New(slog.DiscardHandler), newCounters(metrics.NewRegistry()))
	view := &fleet.View{Backends: map[string][]*fleet.Backend{}}
	now := time.Unix(1000, 0)
	for i := range 12 {
		entry := &fleet.Backend{ID: fmt.Sprint("i-", i), Service: "s", Place: fleet.Place{Zone: "c", Region: "west"}}
		view.Backends["s"] = append(view.Backends["s"], entry)
		d.servers[entry.Incarnation()] = &server{entry: entry, distance: placement.OtherRegion, unresponsive: i%3 > 0}
	}
	d.snapshot = &Snapshot{View: view}
	for range 50 {
		selected := d.selectServers(now, &placeRequest{service: "s", route: &fleet.Route{}}, true, 3)
		if len(selected) != 3 {
			t.Fatalf("%d servers are selected, want 3", len(selected))
		}
		for _, s := range selected {
			if s.unresponsive {
				t.Fatalf("unresponsive server %s is selected although four others answer", s.entry.ID)
			}
		}
	}
}

// Guards against requests that are refused because the servers do not report load: their health checks wait for a slot, so
// the time of a check is not a round trip. Taking it as one made an instance refuse 60 % of the requests without overload.
func TestExpectedTimeOfServersWithoutLoadReports(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &server{entry: &fleet.Backend{ID: "i-1", Slots: 3}, roundTrip: assumedRTTZone, score: outlier.NewScore()}
	for range 20 {
		s.applyCheck(now, backend.Result{Answer: &call.Answer{Status: 200}, Elapsed: 700 * time.Millisecond})
	}
	request := placement.Request{ServiceTime: 100 * time.Millisecond, TimeToDeadline: time.Second, TimeToTarget: 300 * time.Millisecond}
	if expected := placement.DefaultTuning().Expected(request, s.candidate(now)); expected > 150*time.Millisecond {
		t.Errorf("a request with 100 ms of work is expected to take %s", expected)
	}
}

// Guards against requests that are sent to a server that rejected a health check for lack of capacity or that is currently
// slow, where servers do not report load: each such copy uses up resend budget.
func TestFullOrSlowServersWithoutLoadReportsAreAvoided(t *testing.T) {
	settings := &Settings{Bounds: Bounds{ResendWindow: time.Second}}
	self := fleet.Instance{Name: "edge-1", Place: fleet.Place{Zone: "a", Region: "east"}}
	d := newDirector(self, settings, nil, nil, slog.New(slog.DiscardHandler), newCounters(metrics.NewRegistry()))
	d.snapshot = &Snapshot{View: &fleet.View{Config: &fleet.Config{}}}
	now := time.Unix(1000, 0)
	answered := func(id string, fate call.Fate) *server {
		s := &server{entry: &fleet.Backend{ID: id, Slots: 3}, roundTrip: assumedRTTZone, score: outlier.NewScore()}
		s.applyCheck(now, backend.Result{Fate: fate, Answer: &call.Answer{Status: 200}, Elapsed: time.Millisecond})
		d.servers[s.entry.Incarnation()] = s
		return s
	}
	full, slow, good := answered("i-full", call.DeclaredNotRun), answered("i-slow", call.Answered),
		answered("i-good", call.Answered)
	d.handle(t.Context(), now, overdueEvent{grant: &grant{server: slow}})
	p := &pendingPlacement{placeRequest: placeRequest{service: "s", route: &fleet.Route{LatencyTarget: time.Second},
		deadline: now.Add(time.Second), targetAt: now.Add(time.Second)}}
	p.servers = []*server{full, slow, good}
	servers, candidates := d.candidates(now, p)
	choice := d.tuning.Choose(d.placementRequest(now, &p.placeRequest), candidates)
	if choice.Index < 0 || servers[choice.Index] != good || len(servers) != 2 {
		t.Errorf("there are %d candidates and number %d is chosen", len(servers), choice.Index)
	}
}

// Guards against a server that gets no requests for good after one health check was answered under the id of another server,
// for example by one that had its address for a moment: no check was sent that could show the opposite.
func TestServerWithOtherIdentityIsCheckedAgain(t *testing.T) {
	d := newDirector(fleet.Instance{Name: "edge-1", Place: fleet.Place{Zone: "a", Region: "east"}},
		&Settings{Bounds: Bounds{ResendWindow: time.Second}}, nil, nil, slog.New(slog.DiscardHandler),
		newCounters(metrics.NewRegistry()))
	now := time.Unix(1000, 0)
	entry := &fleet.Backend{ID: "i-1", Service: "s", Slots: 3, Place: d.self.Place}
	s := &server{entry: entry, roundTrip: assumedRTTZone, score: outlier.NewScore()}
	d.servers[entry.Incarnation()] = s
	d.snapshot = &Snapshot{View: &fleet.View{Config: &fleet.Config{}, Backends: map[string][]*fleet.Backend{"s": {entry}}}}
	m := placeRequest{service: "s", route: &fleet.Route{}}
	check := func(now time.Time, id string) {
		s.checkInFlight, s.checkSentAt = true, now
		d.applyCheck(t.Context(), now, checkResult{server: s, result: backend.Result{Fate: call.Answered, ServerID: id,
			Answer: &call.Answer{Status: 200}, LoadKnown: true, Slots: 3, Slowdown: 1}})
	}
	takes := func(now time.Time) bool {
		servers, _ := d.candidates(now, &pendingPlacement{placeRequest: m, servers: []*server{s}})
		return len(servers) == 1
	}
	check(now, "i-2")
	later := now.Add(recheckInterval)
	if takes(now) || takes(later) || len(d.selectServers(now, &m, false, 3)) != 0 {
		t.Error("the server is used although another one answers at its address")
	}
	if len(d.selectServers(later, &m, false, 3)) != 1 || s.isFresh(later) {
		t.Error("the server is not checked again")
	}
	if check(later, "i-1"); !takes(later) {
		t.Error("the server is not used after it answered under its own id")
	}
}

// Guards against a reload of the settings that renews the resend budgets.
func TestReloadKeepsResendBudget(t *testing.T) {
	bounds := Bounds{ResendRatio: 0.2, ResendSlack: 50, ResendWindow: 10 * time.Second}
	d := newDirector(fleet.Instance{}, &Settings{Bounds: bounds}, nil, nil, slog.New(slog.DiscardHandler),
		newCounters(metrics.NewRegistry()))
	now := time.Unix(1000, 0)
	for d.takeResend(now, d.budget("s"), "s") {
		continue
	}
	d.handle(t.Context(), now, boundsUpdate{bounds: bounds})
	if d.takeResend(now.Add(time.Second), d.budget("s"), "s") {
		t.Error("a reload renews the budget")
	}
}

// Guards against a process that ends because a request arrives while the director knows backend servers and no
// configuration: the request was routed by a snapshot that the director has not received yet.
func TestRequestBeforeConfigurationIsRefused(t *testing.T) {
	settings := &Settings{Bounds: Bounds{ResendWindow: time.Second}}
	crashes, err := newCrashDetector(slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	d := newDirector(fleet.Instance{Name: "edge-1"}, settings, nil, crashes, slog.New(slog.DiscardHandler),
		newCounters(metrics.NewRegistry()))
	entry := &fleet.Backend{ID: "i-1", Service: "s"}
	d.servers[entry.Incarnation()] = &server{entry: entry}
	d.snapshot = &Snapshot{View: &fleet.View{Backends: map[string][]*fleet.Backend{"s": {entry}}}}
	now := time.Now()
	var reply any
	d.handle(t.Context(), now, placeRequest{service: "s", route: &fleet.Route{}, firstCopy: true, deadline: now.Add(time.Second),
		targetAt: now.Add(time.Second), reply: func(m any) { reply = m }})
	if refusal, ok := reply.(placeRefusal); !ok || refusal.reason != reasonUninformed {
		t.Errorf("the request gets %+v", reply)
	}
}

// Guards against an average round trip that includes the time for which the instance itself was held up.
func TestLateAnswerLeavesRoundTripUnchanged(t *testing.T) {
	for _, reportsLoad := range []bool{true, false} {
		s := &server{entry: &fleet.Backend{}, roundTrip: 5 * time.Millisecond, minCheckTime: 2 * time.Millisecond}
		s.applyCheck(time.Now(), backend.Result{Answer: &call.Answer{Status: http.StatusOK}, LoadKnown: reportsLoad,
			Elapsed: time.Second, Late: true})
		if s.unresponsive || s.roundTrip != 5*time.Millisecond || s.minCheckTime != 2*time.Millisecond || s.report.checkDelay != 0 {
			t.Errorf("unresponsive %v, round trip %v, shortest check %v, delay %v", s.unresponsive, s.roundTrip, s.minCheckTime,
				s.report.checkDelay)
		}
	}
}
