package node_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/node"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// targetServices is the number of service documents at the target size of the fleet.
const targetServices = 190

// BenchmarkConfigChange measures one change of a document at one instance, from the watch event until the change is in
// force: decoding, the decision and the new snapshot. The second case includes the tasks of 190 services, whose backend
// servers refuse connections.
func BenchmarkConfigChange(b *testing.B) {
	b.Run("decision", func(b *testing.B) {
		benchmarkChange(b, func(context.Context, *node.Documents) error { return nil })
	})
	b.Run("with services", func(b *testing.B) {
		refuse := func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }
		d := node.NewDirectory(balance.Location{Region: "permian", Zone: "permian-a"}, refuse, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- d.Run(ctx) }()
		benchmarkChange(b, d.Apply)
		cancel()
		if err := <-ended; err != nil {
			b.Fatal(err)
		}
	})
}

func benchmarkChange(b *testing.B, apply func(context.Context, *node.Documents) error) {
	c := newCluster(b, 51)
	defer c.stopAll()
	inForce := make(chan int)
	c.applied = func(_ string, docs *node.Documents) {
		if err := apply(context.Background(), docs); err != nil {
			b.Error(err)
		}
		inForce <- len(docs.Services)
	}
	c.mustWrite(objectapi.Fleet, "fleet", 0, fleetDocument())
	var version uint64
	for i := range targetServices {
		name := fmt.Sprintf("service-%d", i)
		version = c.mustWrite(objectapi.Services, name, 0, serviceDocument(name, 1))
	}
	c.start(0)
	for <-inForce < targetServices {
	}
	last := fmt.Sprintf("service-%d", targetServices-1)
	slots := 1
	b.ResetTimer()
	for b.Loop() {
		slots = slots%1000 + 1
		version = c.mustWrite(objectapi.Services, last, version, serviceDocument(last, slots))
		<-inForce
	}
	b.StopTimer()
}
