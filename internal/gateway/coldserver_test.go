package gateway

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/outlier"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

// Guards against a server that becomes cold while it serves and goes on getting requests as a warm one (review/5): answers to
// requests keep its report recent, so no health check was sent, and only a health check shows that it is cold.
func TestServerThatMayHaveBecomeColdIsChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crashes, err := newCrashDetector(slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		d := newDirector(fleet.Instance{Name: "edge-1", Place: fleet.Place{Zone: "a", Region: "east"}},
			&Settings{Bounds: Bounds{ResendWindow: time.Second, ColdOvershoot: 1.5, ColdSlack: 5}, Timing: DefaultTiming()}, nil,
			crashes, slog.New(slog.DiscardHandler), newCounters(metrics.NewRegistry()))
		entry := &fleet.Backend{ID: "i-1", Service: "s", Slots: 6, Place: d.self.Place, Revision: 1}
		s := &server{entry: entry, roundTrip: assumedRTTZone, score: outlier.NewScore()}
		d.servers[entry.Incarnation()] = s
		d.snapshot = &Snapshot{View: &fleet.View{Backends: map[string][]*fleet.Backend{"s": {entry}},
			Config: &fleet.Config{Services: map[string]fleet.Service{"s": {ColdPerSecond: 6.3}}}}}
		d.listedAt = time.Now().Add(-time.Minute)
		route := &fleet.Route{Name: "r", LatencyTarget: time.Second}
		load := backend.Result{Fate: call.Answered, Answer: &call.Answer{Status: 200}, LoadKnown: true, Slots: 6, Slowdown: 1}
		check := func(coldFor time.Duration) {
			r := load
			r.ColdFor = coldFor
			s.sentDuringCheck = 0
			d.handle(t.Context(), time.Now(), checkResult{server: s, result: r})
		}
		// send places requests 5 ms apart, each answered at once, and returns how many the server got.
		send := func(count int) (sent int) {
			for range count {
				now := time.Now()
				p := &pendingPlacement{placeRequest: placeRequest{service: "s", route: route, deadline: now.Add(time.Second),
					targetAt: now.Add(time.Second), reply: func(m any) {
						sent++
						d.releaseGrant(t.Context(), now, grantRelease{grant: m.(*grant), succeeded: true, result: load})
					}}, servers: []*server{s}}
				s.checkInFlight = true // no answer to a check arrives
				if servers, candidates := d.candidates(now, p); len(servers) > 0 {
					d.grant(now, p, servers[0], candidates[0], time.Millisecond)
				}
				time.Sleep(5 * time.Millisecond)
			}
			return sent
		}
		check(0)
		if sent := send(50); sent != 8 {
			t.Errorf("%d requests are sent without a health check, want 8", sent)
		}
		if round := (&pendingPlacement{servers: []*server{s}}).checkRound(time.Now(), d.mayHaveBecomeCold); round.FreshReports != 0 {
			t.Error("the report counts as recent")
		}
		check(0)
		if sent := send(50); sent != 8 {
			t.Errorf("%d requests are sent after a health check, want 8", sent)
		}
		check(3 * time.Second)
		if sent := send(50); sent != 0 {
			t.Errorf("%d requests are sent to the cold server, which has got 16 within a second", sent)
		}
		time.Sleep(2 * time.Second)
		check(0)
		changed := *entry
		changed.Revision, changed.ColdFor = 2, 3*time.Second
		d.updateServer(time.Now(), &changed)
		if !s.isCold(time.Now()) {
			t.Error("the server is not cold although its entry says so")
		}
		if check(0); s.isCold(time.Now()) {
			t.Error("the server is cold although its health check says that it is not")
		}
	})
}

// Guards against instances that each take the share of one that is alone, because they have started while the store was silent
// and do not know each other.
func TestUnlistedInstanceTakesStartupShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirector(fleet.Instance{Name: "edge-1", Address: "10.0.0.1:1", Place: fleet.Place{Zone: "a", Region: "east"}},
			&Settings{Bounds: Bounds{ResendWindow: time.Second, ColdOvershoot: 1.5, ColdSlack: 5}, Timing: DefaultTiming()}, nil,
			nil, slog.New(slog.DiscardHandler), newCounters(metrics.NewRegistry()))
		s := &server{entry: &fleet.Backend{ID: "i-1", Service: "s", Place: d.self.Place}}
		view := fleet.View{Config: &fleet.Config{Services: map[string]fleet.Service{"s": {ColdPerSecond: 6.3}}}}
		expect := func(want int, when string) {
			t.Helper()
			if share := d.coldShare(time.Now(), s); share != want {
				t.Errorf("%s the share is %d requests in a second, want %d", when, share, want)
			}
		}
		read := func(address string) {
			next := view
			next.Instances = []fleet.Instance{{Name: "edge-1", Address: address, Place: d.self.Place}}
			d.applySnapshot(time.Now(), &Snapshot{View: &next})
		}
		d.applySnapshot(time.Now(), &Snapshot{View: &view})
		time.Sleep(time.Minute)
		expect(1, "before its entry is read")
		read("10.0.0.9:1")
		time.Sleep(time.Minute)
		expect(1, "while the entry is that of an earlier start at another address")
		read(d.self.Address)
		time.Sleep(3 * time.Second)
		expect(1, "while others may not have read its entry")
		time.Sleep(time.Second)
		expect(8, "when it is alone")
	})
}
