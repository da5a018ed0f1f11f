package node_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/node"
)

// Guards against a server that is presumed cold after a refused connection without anybody being told.
func TestChangesOfServersAreTold(t *testing.T) {
	web := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer web.Close()
	self := balance.Place{Region: "permian", Zone: "permian-a"}
	told := make(chan balance.Change, 16)
	directory := node.NewDirectory(self, backend.NetDialer, slog.New(slog.DiscardHandler)).WithoutKeepers().OnChange(func(_ string, c balance.Change) {
		select {
		case told <- c:
		default:
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- directory.Run(ctx) }()
	doc := &document.Service{
		Name: "intake", Owner: "dispatch", Routes: []document.Route{{Name: "all", Path: "/*"}},
		Servers: document.Servers{Slots: 6, List: []document.Server{{Name: "intake-1", Address: web.Listener.Addr().String(), Zone: "permian-a"}}},
	}
	doc.Complete()
	err := directory.Apply(ctx, &node.Documents{
		Services: map[string]*document.Service{"intake": doc},
		Fleet:    &document.Fleet{Name: "pecos", Regions: []document.Region{{Name: "permian", Zones: []string{"permian-a"}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	server, err := node.NewServer(directory, self)
	if err != nil {
		t.Fatal(err)
	}
	do := func() error {
		_, err := server.Do(ctx, &call.Request{Service: "intake", Method: "GET", Path: "/", Deadline: time.Now().Add(time.Minute)})
		return err
	}
	if err := do(); err != nil {
		t.Fatal(err)
	}
	web.Close()
	if do() == nil {
		t.Error("a server that is gone answered")
	}
	entry, _ := directory.Lookup("intake")
	if _, err := entry.Task.Status(ctx); err != nil { // answered after the release of the request was handled
		t.Fatal(err)
	}
	select {
	case c := <-told:
		if c.Server != "intake-1" || c.Zone != "permian-a" || c.To != "cold" {
			t.Errorf("got %+v", c)
		}
	default:
		t.Error("nobody was told")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
