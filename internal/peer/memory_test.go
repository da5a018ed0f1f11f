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

// memoryNetwork is an in-memory network with one listener. Setting refuse makes dialing fail.
type memoryNetwork struct {
	conns  chan net.Conn
	closed chan struct{}
	refuse atomic.Bool
	dials  atomic.Int32
	// serverEnd is the server's end of the latest connection.
	serverEnd atomic.Value
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (m *memoryNetwork) Accept() (net.Conn, error) {
	select {
	case c := <-m.conns:
		return c, nil
	case <-m.closed:
		return nil, net.ErrClosed
	}
}

func (m *memoryNetwork) Close() error {
	select {
	case <-m.closed:
	default:
		close(m.closed)
	}
	return nil
}

func (m *memoryNetwork) Addr() net.Addr { return &net.TCPAddr{} }

func (m *memoryNetwork) dial(ctx context.Context, _ string) (net.Conn, error) {
	m.dials.Add(1)
	if m.refuse.Load() {
		return nil, errors.New("connection refused")
	}
	clientConn, serverConn := net.Pipe()
	m.serverEnd.Store(serverConn)
	select {
	case m.conns <- serverConn:
		return clientConn, nil
	case <-m.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// clientAndServer is a client and a server connected by an in-memory network.
type clientAndServer struct {
	network *memoryNetwork
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

func newClientAndServer(t *testing.T, handlers peer.Handlers) *clientAndServer {
	t.Helper()
	p := &clientAndServer{network: newMemoryNetwork(), metrics: metrics.NewRegistry()}
	var err error
	if p.server, err = peer.NewServer(handlers, nil, p.metrics, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	if p.client, err = peer.NewClient(view, p.network.dial, nil, p.metrics); err != nil {
		t.Fatal(err)
	}
	p.closeServer = startTask(t, func(ctx context.Context) error { return p.server.Run(ctx, p.network) })
	p.closeClient = startTask(t, p.client.Run)
	return p
}

func startTask(t testing.TB, run func(context.Context) error) (stop func()) {
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

func (p *clientAndServer) close() {
	p.closeClient()
	p.closeServer()
}

func (p *clientAndServer) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, p.metrics).Count()
}

func sender() *peerpb.Sender {
	return &peerpb.Sender{Instance: "entry-1", Incarnation: 1, Region: "permian", Zone: "permian-a", Protocol: peer.ProtocolVersion}
}

func answerGossip(context.Context, *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
	return &peerpb.GossipReply{Sender: &peerpb.Sender{Instance: remote, Protocol: peer.ProtocolVersion}}, nil
}
