package node_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
)

// countedConn counts writes. Each probe is one write.
type countedConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c countedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// Guards against a keeper that sends probes although the prober does not schedule them, and against one that sends
// none.
func TestKeepersProbeEachServerOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var probes atomic.Int64
		f := newFleet(t, 1, noFlaw, fleetSize, fleetServices)
		f.serversHealthy = true
		f.dial = backend.Dialer(func(ctx context.Context, address string) (net.Conn, error) {
			c, err := readyServer(ctx, address)
			return countedConn{Conn: c, writes: &probes}, err
		})
		f.startAll()
		f.run(20 * time.Second)
		servers := 0
		for _, doc := range f.docs.Services {
			servers += len(doc.Servers.List)
		}
		before := probes.Load()
		f.run(20 * time.Second)
		sent := probes.Load() - before
		if want := int64(20 * servers); sent > want || sent < want/2 {
			t.Errorf("%d probes of %d servers in 20 s, want %d", sent, servers, want)
		}
		f.stopAll()
	})
}
