package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/node"
)

// Guards against a slow server that delays an idempotent request without a hedge, and against a copy that keeps
// running after the other one was answered.
func TestLateRequestIsHedgedAndLoserIsCancelled(t *testing.T) {
	var hung atomic.Bool
	cancelled := make(chan string, 1)
	doc := &document.Service{
		Name: "atlas", Owner: "dispatch", Servers: document.Servers{Slots: 6},
		Hedge:  document.Hedge{Percentile: document.DefaultHedgePercentile, Budget: 1},
		Routes: []document.Route{{Name: "lookup", Path: "/*", Idempotent: true, Hedge: true}},
	}
	for i := range 2 {
		name := fmt.Sprintf("atlas-%d", i)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/hang" && hung.CompareAndSwap(false, true) { // one copy of the last request
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
		path := "/"
		if i == 199 {
			path = "/hang"
		}
		answer, err := server.Do(ctx, &call.Request{ID: "id", Service: "atlas", Method: "GET", Path: path})
		if err != nil {
			t.Fatal(err)
		}
		if i == 199 && string(answer.Body) == <-cancelled {
			t.Error("the answered copy was cancelled instead of the other one")
		}
	}
}

// Guards against a request that waits for a hanging server until its deadline because the other server had no room at
// the moment when the hedge was due.
func TestHedgeIsTriedAgainAfterNoServerHadRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		var hangs atomic.Bool
		dial := func(_ context.Context, address string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				defer func() { _ = server.Close() }()
				for r := bufio.NewReader(server); ; {
					req, err := http.ReadRequest(r)
					switch {
					case err != nil:
						return
					case req.URL.Path == "/occupy":
						<-release
					case req.URL.Path == "/hang" && hangs.CompareAndSwap(false, true):
						_, _ = r.ReadByte() // returns when the connection is closed
						return
					}
					_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n"+address)
				}
			}()
			return client, nil
		}
		doc := &document.Service{
			Name: "atlas", Owner: "dispatch", Hedge: document.Hedge{Percentile: document.DefaultHedgePercentile, Budget: 1},
			Servers: document.Servers{Slots: 1, List: []document.Server{
				{Name: "atlas-0", Address: "10.0.0.1:80", Zone: "permian-a"}, {Name: "atlas-1", Address: "10.0.0.2:80", Zone: "permian-a"},
			}},
			Routes: []document.Route{
				{Name: "occupy", Path: "/occupy"}, {Name: "lookup", Path: "/*", Idempotent: true, Hedge: true},
			},
		}
		doc.ApplyDefaults()
		self := balance.Location{Region: "permian", Zone: "permian-a"}
		directory := node.NewDirectory(self, dial, slog.New(slog.DiscardHandler)).WithoutKeepers()
		ctx, cancel := context.WithCancel(t.Context())
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
		do := func(path string) (*call.Answer, error) {
			return server.Do(ctx, &call.Request{ID: "id", Service: "atlas", Method: "GET", Path: path})
		}
		for range 200 { // enough answers for a hedge delay
			if _, err := do("/"); err != nil {
				t.Fatal(err)
			}
		}
		occupied, hanging := make(chan *call.Answer, 1), make(chan *call.Answer, 1)
		send := func(path string, answers chan<- *call.Answer) {
			answer, err := do(path)
			if err != nil {
				t.Errorf("%s: %v", path, err)
			}
			answers <- answer
		}
		go send("/occupy", occupied)
		synctest.Wait()
		go send("/hang", hanging)
		time.Sleep(time.Second) // the hedge is due and finds no room
		if !hangs.Load() || len(hanging) > 0 {
			t.Fatal("the request is not in flight at the hanging server")
		}
		close(release)
		start := time.Now()
		first, second := <-occupied, <-hanging
		if first == nil || second == nil {
			return
		}
		if waited := time.Since(start); waited > time.Second || string(first.Body) != string(second.Body) {
			t.Errorf("answered by %s after %v, the server with room was %s", second.Body, waited, first.Body)
		}
	})
}
