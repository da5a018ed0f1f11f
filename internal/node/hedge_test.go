package node_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/node"
)

// Guards against a slow server that delays an idempotent request without a hedge, and against a copy that keeps
// running after the other one was answered.
func TestLateRequestIsHedgedAndLoserIsCancelled(t *testing.T) {
	var hangNext atomic.Bool
	cancelled := make(chan string, 1)
	doc := &document.Service{
		Name: "atlas", Owner: "dispatch", Servers: document.Servers{Slots: 6},
		Hedge:  document.Hedge{Percentile: document.DefaultHedgePercentile, Budget: 1},
		Routes: []document.Route{{Name: "lookup", Path: "/*", Idempotent: true, Hedge: true}},
	}
	for i := range 2 {
		name := fmt.Sprintf("atlas-%d", i)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if hangNext.CompareAndSwap(true, false) {
				<-r.Context().Done()
				cancelled <- name
				return
			}
			_, _ = w.Write([]byte(name))
		}))
		defer server.Close()
		doc.Servers.List = append(doc.Servers.List, document.Server{
			Name: name, Address: strings.TrimPrefix(server.URL, "http://"), Zone: "permian-a",
		})
	}
	doc.ApplyDefaults()
	self := balance.Location{Region: "permian", Zone: "permian-a"}
	directory := node.NewDirectory(self, backend.NetDialer, slog.New(slog.DiscardHandler)).WithoutKeepers()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- directory.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	docs := &node.Documents{
		Services: map[string]*document.Service{"atlas": doc},
		Fleet:    &document.Fleet{Name: "pecos", Regions: []document.Region{{Name: "permian", Zones: []string{"permian-a"}}}},
	}
	if err := directory.Apply(ctx, docs); err != nil {
		t.Fatal(err)
	}
	server, err := node.NewServer(directory, self)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 200 {
		hangNext.Store(i == 199)
		answer, err := server.Do(ctx, &call.Request{ID: "id", Service: "atlas", Method: "GET", Path: "/"})
		if err != nil {
			t.Fatal(err)
		}
		if i == 199 && string(answer.Body) == <-cancelled {
			t.Error("the answered copy was cancelled instead of the other one")
		}
	}
}
