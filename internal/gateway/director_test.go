package gateway

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/outlier"
	"fuchsiahub.example/fuchsiahub/internal/decide/placement"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

// Guards against placements that ask servers that are known not to answer while others answer, and then refuse. Found in
// incident inc-d99a.
func TestServersThatAnswerAreAskedFirst(t *testing.T) {
	settings := &Settings{Bounds: Bounds{ResendWindow: time.Second}}
	self := fleet.Instance{Name: "edge-1", Place: fleet.Place{Zone: "a", Region: "east"}}
	d := newDirector(self, settings, nil, nil, slog.New(slog.DiscardHandler), newCounters(metrics.NewRegistry()))
	view := &fleet.View{Backends: map[string][]*fleet.Backend{}}
	now := time.Unix(1000, 0)
	for i := range 12 {
		entry := &fleet.Backend{ID: fmt.Sprint("i-", i), Service: "s", Place: fleet.Place{Zone: "c", Region: "west"}}
		view.Backends["s"] = append(view.Backends["s"], entry)
		d.servers[entry.Incarnation()] = &server{entry: entry, distance: placement.OtherRegion, silent: i%3 > 0}
	}
	d.belief = &Belief{View: view}
	for range 50 {
		asked := d.usable(now, &place{service: "s", route: &fleet.Route{}}, true, 3)
		if len(asked) != 3 {
			t.Fatalf("%d servers are asked", len(asked))
		}
		for _, s := range asked {
			if s.silent {
				t.Fatalf("%s is asked although four others answer", s.entry.ID)
			}
		}
	}
}

// Guards against a service that is refused because its servers tell no load: their health checks wait for a slot, so the
// time of a check is no round trip. Found with a varied copy of a site, where 60 % were refused on a calm day.
func TestServersWithoutLoadReports(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &server{entry: &fleet.Backend{ID: "i-1", Slots: 3}, roundTrip: assumedZone, score: outlier.NewScore()}
	for range 20 {
		s.checked(now, backend.Result{Answer: &call.Answer{Status: 200}, Elapsed: 700 * time.Millisecond})
	}
	demand := placement.Demand{Work: 100 * time.Millisecond, Left: time.Second, Objective: 300 * time.Millisecond}
	if expected := placement.DefaultTuning().Expected(demand, s.candidate(now)); expected > 150*time.Millisecond {
		t.Errorf("100 ms of work are expected to take %s", expected)
	}
}
