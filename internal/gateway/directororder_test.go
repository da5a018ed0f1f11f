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
	"fuchsiahub.example/fuchsiahub/internal/decide/outlier"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

// Guards against a request that is refused because no server has reported, while reports wait in the inbox of a director that
// runs late.
func TestReportsThatArrivedCountForPlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range raceRepeats {
			d := newDirector(fleet.Instance{Name: "edge-1", Place: fleet.Place{Zone: "a", Region: "east"}},
				&Settings{Bounds: Bounds{ResendWindow: time.Second}, Timing: DefaultTiming()}, nil, nil,
				slog.New(slog.DiscardHandler), newCounters(metrics.NewRegistry()))
			d.snapshot = &Snapshot{View: &fleet.View{Config: &fleet.Config{}}}
			s := &server{entry: &fleet.Backend{ID: "i-1", Slots: 3, Place: fleet.Place{Zone: "a", Region: "east"}},
				roundTrip: assumedRTTZone, score: outlier.NewScore(), checkInFlight: true, checkSentAt: time.Now()}
			s.report.healthy, s.report.reportsLoad = true, true
			d.servers[s.entry.Incarnation()] = s
			replies := make(chan any, 1)
			d.pending = []*pendingPlacement{{placeRequest: placeRequest{route: &fleet.Route{Name: "r", LatencyTarget: time.Second},
				deadline: time.Now().Add(10 * time.Second), targetAt: time.Now().Add(5 * time.Second),
				reply: func(m any) { replies <- m }}, startedAt: time.Now(), checksSentAt: time.Now(), reportWait: d.timing.ReportWait,
				otherRegions: true, servers: []*server{s}}}
			for _, m := range []any{streamFailure{server: s}, checkResult{server: s, result: backend.Result{Fate: call.Answered,
				Answer: &call.Answer{Status: 200}, LoadKnown: true, Slots: 3, Slowdown: 1, Elapsed: time.Millisecond}}} {
				if err := d.inbox.Offer(m); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(d.timing.MaxReportWait + time.Millisecond)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { _ = d.run(ctx); close(ended) }()
			if refusal, ok := (<-replies).(placeRefusal); ok {
				t.Errorf("the placement is refused: %s", refusal.reason.text)
			}
			cancel()
			<-ended
		}
	})
}
