package gateway

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

// dialSilent opens a connection to a server in memory that reads requests and never answers.
func dialSilent(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		reader := bufio.NewReader(far)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				_ = far.Close()
				return
			}
		}
	}()
	return near, nil
}

// Guards against a request that waits for a connection to a server and is sent when the server has left, its zone is taken out, or
// the time of a planned stop is over (review/9).
func TestWaitingRequestsAreTakenBack(t *testing.T) {
	const running, waiting = minConnections, 3
	entry := func(draining bool) *fleet.Backend {
		return &fleet.Backend{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Place: fleet.Place{Zone: "a", Region: "east"}, Draining: draining}
	}
	view := func(draining bool, zones map[string]bool) *Snapshot {
		return &Snapshot{View: &fleet.View{Backends: map[string][]*fleet.Backend{"s": {entry(draining)}}, EvacuatedZones: zones}}
	}
	for name, c := range map[string]struct {
		message any
		// barred is true if further requests are taken back, too.
		barred bool
		// recalled is the number of requests that are taken back.
		recalled int
	}{
		"server drains":         {snapshotUpdate{snapshot: view(true, nil)}, true, waiting},
		"zone is taken out":     {snapshotUpdate{snapshot: view(false, map[string]bool{"a": true})}, true, waiting},
		"another zone is":       {snapshotUpdate{snapshot: view(false, map[string]bool{"b": true})}, false, 0},
		"planned stop":          {stopBegun{}, false, waiting},
		"server is as it was":   {snapshotUpdate{snapshot: view(false, nil)}, false, 0},
		"server is not listed":  {snapshotUpdate{snapshot: &Snapshot{View: &fleet.View{}}}, true, waiting},
		"another server drains": {snapshotUpdate{snapshot: view(false, nil)}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				factory, err := backend.NewPoolFactory(dialSilent, anyAnswer{}, nil)
				if err != nil {
					t.Fatal(err)
				}
				crashes, err := newCrashDetector(slog.New(slog.DiscardHandler))
				if err != nil {
					t.Fatal(err)
				}
				d := newDirector(fleet.Instance{Name: "edge-1", Place: fleet.Place{Zone: "a", Region: "east"}}, &Settings{}, factory, crashes,
					slog.New(slog.DiscardHandler), newCounters(metrics.NewRegistry()))
				ctx, cancel := context.WithCancel(t.Context())
				d.poolContext = ctx
				d.applySnapshot(time.Now(), view(false, nil))
				pool := d.servers[entry(false).Incarnation()].pool
				requestCtx, endRequests := context.WithCancel(t.Context())
				results := make(chan backend.Result, 2*(running+waiting))
				send := func(n int) {
					go func() {
						results <- pool.Do(requestCtx, &call.Request{ID: fmt.Sprint(n), Service: "s", Method: "POST", Path: "/", ExpectedServer: "i-1"})
					}()
					synctest.Wait()
				}
				for n := range running + waiting {
					send(n)
				}
				d.handle(ctx, time.Now(), c.message)
				synctest.Wait()
				send(running + waiting)
				want := c.recalled
				if c.barred {
					want++
				}
				if len(results) != want {
					t.Errorf("%d requests are taken back, want %d", len(results), want)
				}
				for len(results) > 0 {
					if r := <-results; r.Fate != call.NotSent || r.Answer != nil || name != "server is not listed" && !backend.IsRecalled(r.Err) {
						t.Errorf("fate %v, error %v", r.Fate, r.Err)
					}
				}
				endRequests()
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a request that counts a server that it never reached: it would have one try less, and spend a resend.
func TestTakenBackRequestIsUnspent(t *testing.T) {
	f := &forward{copiesSent: 2, triedServers: []string{"i-1", "i-2"}}
	tried := f.triedServers
	f.takeBack(&grant{entry: &fleet.Backend{ID: "i-1"}})
	if f.copiesSent != 1 || len(f.triedServers) != 1 || f.triedServers[0] != "i-2" || tried[0] != "i-1" {
		t.Errorf("%d copies, tried %v, a list that a placement holds is now %v", f.copiesSent, f.triedServers, tried)
	}
}
