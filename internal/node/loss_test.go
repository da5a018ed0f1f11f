package node

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Guards against a second run of a request that is not idempotent after its connection broke, against a broken
// connection that is reported as "not run", and against an idempotent request, or one that certainly did not run,
// that fails although resends are left.
func TestOnlyHarmlessRequestsAreSentAgain(t *testing.T) {
	for _, c := range []struct {
		path string
		// first is the outcome of the first copy; later copies are answered.
		first serverResponse
		runs  int
	}{
		{"/dispatch", serverResponse{breakConnection: true}, 1},
		{"/report/7", serverResponse{breakConnection: true}, 1},
		{"/lookup/7", serverResponse{breakConnection: true}, 2},
		{"/dispatch", serverResponse{status: http.StatusServiceUnavailable, notRun: true}, 2},
		{"/report/7", serverResponse{status: http.StatusServiceUnavailable, notRun: true}, 2},
	} {
		t.Run(c.path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runs := 0
				_, i := startSingle(t, &runs, func(cl *cluster) {
					cl.docs = onceDocuments("intake-1", "intake-2")
					cl.docs.Services["intake"].Retry.Budget = 1
					cl.servers = newFakeServers(func(string, *http.Request, string) serverResponse {
						if runs++; runs == 1 {
							return c.first
						}
						return serverResponse{status: http.StatusOK}
					})
				})
				_, err := i.server.Do(t.Context(), &call.Request{
					ID: "1", Service: "intake", Method: "POST", Path: c.path, RetriesLeft: 2, Deadline: time.Now().Add(5 * time.Second),
					Header: []call.Field{{Name: "Idempotency-Key", Value: "a"}},
				})
				lost := c.runs == 1
				if runs != c.runs || (err != nil) != lost || lost && (!fault.Is(err, fault.OutcomeUnknown) || fault.As(err).NotRun) {
					t.Errorf("sent %d times, want %d; error %v", runs, c.runs, err)
				}
				i.shutDown()
			})
		})
	}
}
