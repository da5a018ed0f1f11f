package node

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/peer"
)

// Guards against a planned stop that passes on requests which arrive late and are cut off when the process ends, among them
// ones that may not be repeated. A request either ends before the process or is refused at once as not run.
func TestPlannedStopPassesOnOnlyWhatCanEnd(t *testing.T) {
	const length, work = 10 * time.Second, 400 * time.Millisecond
	for _, route := range []string{"/lookup/", "/report/"} { // idempotent and not
		synctest.Test(t, func(t *testing.T) {
			c := &cluster{api: newMemoryAPI(), docs: onceDocuments("intake-1", "intake-2")}
			c.net = &network{handlers: map[string]peer.Handlers{}, gates: map[string]*gate{}, lose: func() bool { return false }}
			var ran atomic.Int64
			c.servers = newFakeServers(func(string, *http.Request, string) serverResponse {
				ran.Add(1)
				time.Sleep(work)
				return serverResponse{status: 200}
			})
			self := member.Instance{Name: "entry-0", Incarnation: 1, Region: "permian", Zone: "permian-a"}
			i := c.start(t, self)
			i.view.Store(&member.View{Self: self, Live: []member.Instance{self}})
			send := func() error {
				_, err := i.server.Do(t.Context(), &call.Request{Service: "intake", Method: "POST", Path: route + "1"})
				return err
			}
			for range 400 { // the typical latency becomes that of the servers
				if err := send(); err != nil {
					t.Fatal(err)
				}
			}
			ends := time.Now().Add(length)
			i.server.stopsBy = func() time.Time { return ends }
			refused := 0
			for time.Now().Before(ends) {
				begun, before := time.Now(), ran.Load()
				switch err := send(); {
				case err == nil:
					if left := ends.Sub(begun); left < stopReserve+work {
						t.Errorf("%s: a request of %s is passed on with %s left", route, work, left)
					}
				case !fault.Is(err, fault.Stopping) || !fault.As(err).NotRun || ran.Load() != before || time.Since(begun) > 0:
					t.Errorf("%s: refused after %s, sent %d times: %v", route, time.Since(begun), ran.Load()-before, err)
				default:
					refused++
					time.Sleep(100 * time.Millisecond)
				}
			}
			if refused < 10 || refused > 25 {
				t.Errorf("%s: %d refusals 100 ms apart in the last part of the stop", route, refused)
			}
			i.shutDown()
		})
	}
}
