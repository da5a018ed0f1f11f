package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/frontend"
	"fuchsiahub.example/fuchsiahub/internal/node"
)

const (
	benchServers = 12
	benchSlots   = 6
	// benchClients keep half of the slots busy: each has one request in flight.
	benchClients = benchServers * benchSlots / 2
	// serviceTime is the service time of a stand-in server.
	serviceTime = 20 * time.Millisecond
)

// standInServer answers each request after serviceTime and reports the measured time in X-Took.
func standInServer(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		time.Sleep(serviceTime) // simulates the work of the server
		w.Header().Set("Backend-Load", fmt.Sprintf("1/%d", benchSlots))
		w.Header().Set("X-Took", time.Since(start).String())
		_, _ = w.Write([]byte("ok"))
	})}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// startInstance returns the address of the front end of an instance in front of the servers.
func startInstance(b *testing.B, servers []document.Server) string {
	b.Helper()
	doc := &document.Service{
		Name: "atlas", Owner: "dispatch", Servers: document.Servers{Slots: benchSlots, ColdAllowance: benchSlots, List: servers},
		Routes: []document.Route{{Name: "all", Path: "/*", Idempotent: true}},
	}
	doc.ApplyDefaults()
	docs := &node.Documents{
		Services: map[string]*document.Service{"atlas": doc},
		Fleet:    &document.Fleet{Name: "pecos", Regions: []document.Region{{Name: "permian", Zones: []string{"permian-a"}}}},
	}
	self := balance.Location{Region: "permian", Zone: "permian-a"}
	directory := node.NewDirectory(self, backend.NetDialer, slog.New(slog.DiscardHandler)).WithoutKeepers()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { _ = directory.Run(ctx); close(ended) }()
	if err := directory.Apply(ctx, docs); err != nil {
		b.Fatal(err)
	}
	server, err := node.NewServer(directory, self)
	if err != nil {
		b.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	front := &http.Server{Handler: frontend.NewHandler(server, func() string { return "id" })}
	go func() { _ = front.Serve(l) }()
	b.Cleanup(func() { _ = front.Close(); cancel(); <-ended })
	return l.Addr().String()
}

// BenchmarkAddedTime reports the latency that an instance adds to a request while half of the slots are busy: the
// time that the client measures less the time that the server measures. The same clients also call the servers
// directly for comparison, because the network and net/http at both ends add latency as well. Run it with -benchtime
// 5s.
func BenchmarkAddedTime(b *testing.B) {
	var list []document.Server
	var serverAddresses []string
	for i := range benchServers {
		address := standInServer(b)
		serverAddresses = append(serverAddresses, address)
		list = append(list, document.Server{Name: fmt.Sprintf("atlas-%02d", i), Address: address, Zone: "permian-a"})
	}
	instanceAddress := startInstance(b, list)
	b.Run("direct", func(b *testing.B) { measureAdded(b, func(i int) string { return serverAddresses[i%benchServers] }) })
	b.Run("instance", func(b *testing.B) { measureAdded(b, func(int) string { return instanceAddress }) })
}

// measureAdded sends b.N requests over benchClients connections.
func measureAdded(b *testing.B, address func(client int) string) {
	work := make(chan struct{})
	results := make(chan *hdrhistogram.Histogram)
	for i := range benchClients {
		go func() { results <- sendWork(address(i), work) }()
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	total := hdrhistogram.New(1, 60_000_000, 3)
	for range benchClients {
		total.Merge(<-results)
	}
	b.StopTimer()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(total.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(total.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "allocs-both-ends/op")
	b.ReportMetric(float64(b.N-int(total.TotalCount())), "failed")
}

// sendWork sends a request for each item of work on one connection and returns the added latencies in microseconds. After
// an error it takes the remaining items without a request, so that they count as failed.
func sendWork(address string, work <-chan struct{}) *hdrhistogram.Histogram {
	added := hdrhistogram.New(1, 60_000_000, 3)
	conn, err := net.Dial("tcp", address)
	reader := bufio.NewReader(conn)
	for range work {
		if err != nil {
			continue
		}
		start := time.Now()
		var took time.Duration
		if took, err = exchange(conn, reader); err == nil {
			_ = added.RecordValue(max(0, (time.Since(start) - took).Microseconds()))
		}
	}
	return added
}

const benchRequest = "GET /lookup HTTP/1.1\r\nHost: atlas\r\n\r\n"

func exchange(conn net.Conn, reader *bufio.Reader) (time.Duration, error) {
	if _, err := io.Copy(conn, strings.NewReader(benchRequest)); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", response.StatusCode)
	}
	return time.ParseDuration(response.Header.Get("X-Took"))
}
