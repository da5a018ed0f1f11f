package node_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/decide/member"

	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// pipeNetwork is an in-memory network of listeners.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

type pipeListener struct {
	conns  chan net.Conn
	closed context.Context
	close  context.CancelFunc
}

func (p *pipeNetwork) listen(address string) *pipeListener {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &pipeListener{conns: make(chan net.Conn)}
	l.closed, l.close = context.WithCancel(context.Background())
	p.listeners[address] = l
	return l
}

func (p *pipeNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	l := p.listeners[address]
	p.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed.Done():
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed.Done():
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.close(); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against tasks that do not work together over the real transport: instances that start while the object API is down
// must find each other by seeds, gossip, fetch the configuration, and stop.
func TestInstancesTalkOverTransport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 71)
		network := &pipeNetwork{listeners: map[string]*pipeListener{}}
		group := task.NewGroup(context.Background())
		c.caller = func(in *instance) peer.Caller { return startClient(t, group, network, in) }
		c.mustWrite(objectapi.Fleet, "fleet", 0, fleetDocument())
		v := c.mustWrite(objectapi.Services, "intake", 0, serviceDocument("intake", 1))
		startServer(t, group, network, c.start(0))
		time.Sleep(time.Second)
		c.storeDown = true
		startServer(t, group, network, c.start(1))
		startServer(t, group, network, c.start(2))
		time.Sleep(inForceTime)
		for _, in := range c.instances {
			if n, got := len(in.live()), in.versions()[intake]; n != 3 || got != v || !in.config.Status().Ready {
				t.Errorf("%s: %d live instances, version %d, ready %t", in.name, n, got, in.config.Status().Ready)
			}
		}
		c.stopAll()
		group.Stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

func startClient(t *testing.T, group *task.Group, network *pipeNetwork, in *instance) peer.Caller {
	client, err := peer.NewClient(func() *member.View { return in.gossip.View() }, network.dial, nil, metrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	group.Go("peer client "+in.name, client.Run)
	return client
}

func startServer(t *testing.T, group *task.Group, network *pipeNetwork, in *instance) {
	server, err := peer.NewServer(peer.Handlers{Gossip: in.gossip.Handle, Documents: in.config.Handle}, nil,
		metrics.NewRegistry(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	listener := network.listen(in.name)
	group.Go("peer server "+in.name, func(ctx context.Context) error { return server.Run(ctx, listener) })
}
