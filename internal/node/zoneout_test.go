package node

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/document"
)

// Guards against a zone that still gets requests 3 s after a document took it out, because the service task did not
// receive the document or did not pass it to its decisions.
func TestZoneOutReachesService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counts := map[string]int{}
		servers := newFakeServers(func(server string, _ *http.Request, _ string) serverResponse {
			counts[server]++
			return serverResponse{status: http.StatusOK}
		})
		docs := onceDocuments("intake-1", "intake-2")
		docs.Services["intake"].Servers.List[1].Zone = "permian-b"
		self := balance.Location{Region: "permian", Zone: "permian-a"}
		directory := NewDirectory(self, servers.dialer(newGate()), slog.New(slog.DiscardHandler)).WithoutKeepers()
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = directory.Run(ctx) }()
		server, err := NewServer(directory, self)
		if err != nil {
			t.Fatal(err)
		}
		requestsWithout := func(out ...string) map[string]int {
			fleet := &document.Fleet{Name: "pecos", Regions: onceRegions, ZonesOut: out}
			if err := directory.Apply(ctx, &Documents{Services: docs.Services, Fleet: fleet}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(3 * time.Second)
			clear(counts)
			for range 50 {
				if _, err := server.Do(ctx, &call.Request{ID: "1", Service: "intake", Method: "GET", Path: "/lookup/1"}); err != nil {
					t.Error(err)
				}
			}
			return counts
		}
		if got := requestsWithout(); got["intake-1"] == 0 {
			t.Errorf("before the zone was taken out: %v", got)
		}
		if got := requestsWithout("permian-a"); got["intake-1"] != 0 || got["intake-2"] != 50 {
			t.Errorf("permian-a is out: %v", got)
		}
		cancel()
		synctest.Wait()
	})
}
