package node_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/frontend"
	"fuchsiahub.example/fuchsiahub/internal/node"
)

// Guards against a fault anywhere on the path of a request: front end, service task, pool, connection.
func TestRequestReachesBackendServer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Path", r.URL.EscapedPath())
		_, _ = w.Write([]byte("answer to " + string(body)))
	}))
	defer server.Close()
	doc := &document.Service{
		Name: "intake", Owner: "dispatch",
		Servers: document.Servers{Slots: 6, List: []document.Server{
			{Name: "intake-1", Address: strings.TrimPrefix(server.URL, "http://"), Zone: "permian-a"},
		}},
		Routes: []document.Route{{Name: "all", Path: "/*"}},
	}
	doc.ApplyDefaults()
	docs := &node.Documents{
		Services: map[string]*document.Service{"intake": doc},
		Fleet:    &document.Fleet{Name: "pecos", Regions: []document.Region{{Name: "permian", Zones: []string{"permian-a"}}}},
	}
	self := balance.Location{Region: "permian", Zone: "permian-a"}
	directory := node.NewDirectory(self, backend.NetDialer, slog.New(slog.DiscardHandler)).WithoutKeepers()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- directory.Run(ctx) }()
	if err := directory.Apply(ctx, docs); err != nil {
		t.Fatal(err)
	}
	handler, err := node.NewServer(directory, self)
	if err != nil {
		t.Fatal(err)
	}
	front := httptest.NewServer(frontend.NewHandler(handler, func() string { return "id-1" }))
	defer front.Close()
	for range 20 {
		req, _ := http.NewRequest("POST", front.URL+"/reports/a%2Fb?x=1", strings.NewReader("report"))
		req.Header.Set(frontend.HeaderService, "intake")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != 200 || string(body) != "answer to report" || resp.Header.Get("X-Path") != "/reports/a%2Fb" {
			t.Fatalf("status %d, body %q, header %v", resp.StatusCode, body, resp.Header)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// Guards against a task that ends at once if its context cannot be cancelled and thus has a nil Done channel.
func TestDirectoryRunsUnderBackgroundContext(t *testing.T) {
	directory := node.NewDirectory(balance.Location{}, backend.NetDialer, slog.New(slog.DiscardHandler))
	go func() { _ = directory.Run(context.Background()) }()
	docs := &node.Documents{Fleet: &document.Fleet{}}
	if err := directory.Apply(t.Context(), docs); err != nil {
		t.Fatal(err)
	}
}
