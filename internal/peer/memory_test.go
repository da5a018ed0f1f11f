package peer_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// memory is an in-memory network with one listener. Setting refuse makes dialing fail.
type memory struct {
	conns  chan net.Conn
	closed chan struct{}
	refuse atomic.Bool
	dials  atomic.Int32
	// far is the server's end of the latest connection.
	far atomic.Value
}

func newMemory() *memory {
	return &memory{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (m *memory) Accept() (net.Conn, error) {
	select {
	case c := <-m.conns:
		return c, nil
	case <-m.closed:
		return nil, net.ErrClosed
	}
}

func (m *memory) Close() error {
	select {
	case <-m.closed:
	default:
		close(m.closed)
	}
	return nil
}

func (m *memory) Addr() net.Addr { return &net.TCPAddr{} }

func (m *memory) dial(ctx context.Context, _ string) (net.Conn, error) {
	m.dials.Add(1)
	if m.refuse.Load() {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	m.far.Store(far)
	select {
	case m.conns <- far:
		return near, nil
	case <-m.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pair is a client and a server connected by an in-memory network.
type pair struct {
	network *memory
	server  *peer.Server
	client  *peer.Client
	metrics metrics.Registry
	// closeClient and closeServer stop the tasks and wait for them.
	closeClient, closeServer func()
}

const remote = "entry-2"

func view() *member.View {
	return &member.View{Live: []member.Instance{{Name: remote, PeerAddress: "10.0.0.2:7000"}}}
}

func newPair(t *testing.T, handlers peer.Handlers) *pair {
	t.Helper()
	p := &pair{network: newMemory(), metrics: metrics.NewRegistry()}
	var err error
	if p.server, err = peer.NewServer(handlers, nil, p.metrics, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	if p.client, err = peer.NewClient(view, p.network.dial, nil, p.metrics); err != nil {
		t.Fatal(err)
	}
	p.closeServer = start(t, func(ctx context.Context) error { return p.server.Run(ctx, p.network) })
	p.closeClient = start(t, p.client.Run)
	return p
}

func start(t testing.TB, run func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	return func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

func (p *pair) close() {
	p.closeClient()
	p.closeServer()
}

func (p *pair) counted(name string) int64 {
	return metrics.GetOrRegisterCounter(name, p.metrics).Count()
}

func sender() *peerpb.Sender {
	return &peerpb.Sender{Instance: "entry-1", Incarnation: 1, Region: "permian", Zone: "permian-a", Protocol: peer.ProtocolVersion}
}

func gossip(context.Context, *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
	return &peerpb.GossipReply{Sender: &peerpb.Sender{Instance: remote, Protocol: peer.ProtocolVersion}}, nil
}
