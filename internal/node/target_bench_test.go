package node_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/node"
)

// BenchmarkTargetMemory reports the memory of the service tasks, with one open connection per backend server, for
// several numbers of services with 8 servers each. Run it with -benchtime 1x.
func BenchmarkTargetMemory(b *testing.B) {
	for _, services := range []int{1, 48, 190} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			for range b.N {
				before := memoryInUse()
				stop := runServices(b, services, 8)
				b.ReportMetric(float64(memoryInUse()-before)/1e6, "MB")
				stop()
			}
		})
	}
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// runServices starts the tasks of the services and returns once their spare connections are open.
func runServices(b *testing.B, services, servers int) (stop func()) {
	b.Helper()
	opened := make(chan net.Conn, services*servers)
	dial := func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		opened <- far
		return near, nil
	}
	docs := &node.Documents{
		Services: map[string]*document.Service{},
		Fleet:    &document.Fleet{Name: "target", Regions: []document.Region{{Name: "r", Zones: []string{"a", "b"}}}},
	}
	for n := range services {
		doc := &document.Service{Name: fmt.Sprintf("service-%d", n), Owner: "team", Servers: document.Servers{Slots: 6}}
		doc.Routes = []document.Route{{Name: "all", Path: "/*"}}
		for s := range servers {
			doc.Servers.List = append(doc.Servers.List, document.Server{
				Name: fmt.Sprintf("server-%d", s), Address: fmt.Sprintf("127.0.0.1:%d", 1024+n*servers+s), Zone: []string{"a", "b"}[s%2],
			})
		}
		doc.ApplyDefaults()
		docs.Services[doc.Name] = doc
	}
	directory := node.NewDirectory(balance.Location{Region: "r", Zone: "a"}, dial, slog.New(slog.DiscardHandler)).WithoutKeepers()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { _ = directory.Run(ctx); close(ended) }()
	if err := directory.Apply(ctx, docs); err != nil {
		b.Fatal(err)
	}
	var far []net.Conn
	for range services * servers {
		far = append(far, <-opened)
	}
	return func() {
		cancel()
		<-ended
		for _, c := range far {
			_ = c.Close()
		}
	}
}
