package node

import (
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/route"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// Guards against a hedge that is sent although the answer to the first copy has come, because the instance was late.
func TestNoHedgeBehindAnswer(t *testing.T) {
	for range 64 {
		service := &Service{inbox: task.NewMailbox[any]("service", 1), ended: make(chan struct{})}
		close(service.ended)
		h := &hedgedRequest{e: &exchange{ctx: t.Context(), stopLimit: func() time.Time { return time.Time{} }, service: service, req: &call.Request{},
			policy: route.Policy{Route: &document.Route{}}}, results: make(chan copyResult, 2), inFlight: 1}
		h.results <- copyResult{result: backend.Result{Fate: call.Answered, Answer: &call.Answer{Status: 200}}}
		due := make(chan time.Time, 1)
		due <- time.Now()
		if result := h.await(&call.Request{}, due, func() { t.Error("the hedge is tried again") }); result.Fate != call.Answered {
			t.Errorf("fate %s", result.Fate)
		}
		if service.inbox.Len() != 0 {
			t.Error("a server was requested for a hedge")
		}
	}
}
