package peer_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// BenchmarkGossipCall measures one gossip exchange over TCP on the loopback interface with full messages of 32
// entries each way. Client and server run in this process, so the result includes the work of both.
func BenchmarkGossipCall(b *testing.B) {
	entries := make([]*peerpb.Member, 32)
	for i := range entries {
		entries[i] = &peerpb.Member{Instance: fmt.Sprintf("entry-%03d", i), Incarnation: 1_700_000_000_000, Heartbeat: 100_000, State: 2, AgeMs: 700}
	}
	registry := metrics.NewRegistry()
	server, err := peer.NewServer(peer.Handlers{Gossip: func(context.Context, *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
		return &peerpb.GossipReply{Sender: sender(), Members: entries}, nil
	}}, nil, registry, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	client, err := peer.NewClient(view, peer.NetDialer, nil, registry)
	if err != nil {
		b.Fatal(err)
	}
	defer startTask(b, func(ctx context.Context) error { return server.Run(ctx, listener) })()
	defer startTask(b, client.Run)()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Gossip(context.Background(), listener.Addr().String(), &peerpb.GossipRequest{Sender: sender(), Members: entries}); err != nil {
			b.Fatal(err)
		}
	}
	sent := metrics.GetOrRegisterCounter(peer.MetricSent, registry).Count()
	b.ReportMetric(float64(sent)/float64(b.N)/2, "B-sent/message")
}
