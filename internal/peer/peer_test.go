package peer_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// Guards against calls that are lost or damaged between client and server, and against a new connection for each call.
func TestEveryCallIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newClientAndServer(t, peer.Handlers{
			Gossip: answerGossip,
			Documents: func(_ context.Context, in *peerpb.DocumentsRequest) (*peerpb.DocumentsReply, error) {
				return &peerpb.DocumentsReply{Documents: []*peerpb.Document{{Name: in.Have[0].Name, Value: make([]byte, 1<<20)}}}, nil
			},
		})
		defer p.close()
		ctx := context.Background()
		for range 3 {
			if _, err := p.client.Gossip(ctx, remote, &peerpb.GossipRequest{Sender: sender()}); err != nil {
				t.Fatal(err)
			}
		}
		docs, err := p.client.Documents(ctx, remote, &peerpb.DocumentsRequest{Sender: sender(), Have: []*peerpb.DocumentVersion{{Name: "intake"}}})
		if err != nil || docs.Documents[0].Name != "intake" || len(docs.Documents[0].Value) != 1<<20 {
			t.Fatalf("documents: %v", err)
		}
		if _, err = p.client.Lease(ctx, remote, &peerpb.LeaseRequest{Sender: sender()}); !fault.Is(err, fault.NotFound) {
			t.Fatalf("call without a handler gives %v, want kind %s", err, fault.NotFound)
		}
		if p.network.dials.Load() != 2 {
			t.Errorf("%d connections were opened for two classes of calls, want 2", p.network.dials.Load())
		}
	})
}

// Guards against gossip waiting behind slow calls, and against more connections to a peer than the limit.
func TestSlowCallsDoNotDelayGossip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		p := newClientAndServer(t, peer.Handlers{Gossip: answerGossip, Claim: func(context.Context, *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
			<-release
			return &peerpb.ClaimReply{}, nil
		}})
		defer p.close()
		const claims = 30
		ended := make(chan error, claims)
		for range claims {
			go func() {
				_, err := p.client.Claim(context.Background(), remote, &peerpb.ClaimRequest{Sender: sender()})
				ended <- err
			}()
		}
		synctest.Wait()
		before := time.Now()
		if _, err := p.client.Gossip(context.Background(), remote, &peerpb.GossipRequest{Sender: sender()}); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(before); waited > 0 {
			t.Errorf("gossip waited %v", waited)
		}
		if p.network.dials.Load() > 9 {
			t.Errorf("%d connections are open, want at most 8 for claims and 1 for gossip", p.network.dials.Load())
		}
		close(release)
		for range claims {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	})
}

// Guards against a call that waits forever for a hung peer, and against a peer that stays unavailable after it recovers.
func TestCallToHungPeerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var hang atomic.Bool
		hang.Store(true)
		p := newClientAndServer(t, peer.Handlers{Gossip: func(ctx context.Context, in *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
			if hang.Load() {
				<-ctx.Done()
			}
			return answerGossip(ctx, in)
		}})
		defer p.close()
		before := time.Now()
		_, err := p.client.Gossip(context.Background(), remote, &peerpb.GossipRequest{Sender: sender()})
		if !fault.Is(err, fault.PeerUnavailable) || time.Since(before) > time.Second {
			t.Fatalf("after %v: %v", time.Since(before), err)
		}
		hang.Store(false)
		if _, err = p.client.Gossip(context.Background(), remote, &peerpb.GossipRequest{Sender: sender()}); err != nil {
			t.Fatalf("after the peer has recovered: %v", err)
		}
		if p.counter(peer.MetricFailed) != 1 {
			t.Errorf("%d failed calls counted, want 1", p.counter(peer.MetricFailed))
		}
	})
}

// Guards against a connection storm to a peer that is down, and against a link that does not recover.
func TestBackoffBoundsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newClientAndServer(t, peer.Handlers{Gossip: answerGossip})
		defer p.close()
		p.network.refuse.Store(true)
		callGossip := func() error {
			_, err := p.client.Gossip(context.Background(), remote, &peerpb.GossipRequest{Sender: sender()})
			return err
		}
		for range 600 { // a minute
			if err := callGossip(); !fault.Is(err, fault.PeerUnavailable) {
				t.Fatalf("peer that is down gives %v", err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		// Half of the delay is jitter, so it is at least 2.5 s at the maximum, and the maximum is reached after a few attempts.
		if p.network.dials.Load() > 60*2/5+8 {
			t.Errorf("%d connections were tried in a minute", p.network.dials.Load())
		}
		p.network.refuse.Store(false)
		time.Sleep(5 * time.Second)
		if err := callGossip(); err != nil {
			t.Errorf("peer that is up again: %v", err)
		}
	})
}

// Guards against a failed call on a connection that the peer closed while it was idle.
func TestConnectionClosedByPeerIsReopened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newClientAndServer(t, peer.Handlers{Gossip: answerGossip})
		defer p.close()
		for range 3 {
			if _, err := p.client.Gossip(context.Background(), remote, &peerpb.GossipRequest{Sender: sender()}); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			_ = p.network.serverEnd.Load().(net.Conn).Close()
			synctest.Wait()
		}
		if n := p.network.dials.Load(); n != 3 {
			t.Errorf("%d connections were opened, want 3", n)
		}
	})
}

// Guards against idle connections that are never closed.
func TestIdleConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newClientAndServer(t, peer.Handlers{Gossip: answerGossip})
		defer p.close()
		if _, err := p.client.Gossip(context.Background(), remote, &peerpb.GossipRequest{Sender: sender()}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(61 * time.Second)
		serverConn := p.network.serverEnd.Load().(net.Conn)
		_ = serverConn.SetWriteDeadline(time.Time{})
		if _, err := serverConn.Write([]byte{0}); !errors.Is(err, io.ErrClosedPipe) {
			t.Errorf("the connection is still open after a minute without calls: %v", err)
		}
	})
}

// Guards against a malformed message or one of an unknown version that reaches a handler or is not counted.
func TestBadInputIsCountedAndRefused(t *testing.T) {
	raw := map[string][]byte{
		"garbage":  bytes.Repeat([]byte{0xff}, 64),
		"oversize": oversizedFrame(),
		"broken":   malformedCall(),
	}
	for name, data := range raw {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newClientAndServer(t, peer.Handlers{Gossip: mustNotRun(t)})
				defer p.close()
				conn, err := p.network.dial(context.Background(), "")
				if err != nil {
					t.Fatal(err)
				}
				_, _ = conn.Write(data) // fails when the server closes before it has read all
				synctest.Wait()
				_ = conn.Close()
				synctest.Wait()
				if n := p.counter(peer.MetricBad); n != 1 {
					t.Errorf("%d bad messages counted, want 1", n)
				}
			})
		})
	}
	for name, s := range map[string]*peerpb.Sender{"no sender": nil, "unknown version": {Instance: "entry-1", Protocol: 99}, "no name": {Protocol: 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newClientAndServer(t, peer.Handlers{Gossip: mustNotRun(t)})
				defer p.close()
				_, err := p.client.Gossip(context.Background(), remote, &peerpb.GossipRequest{Sender: s})
				if !fault.Is(err, fault.BadPeer) || p.counter(peer.MetricBad) != 1 {
					t.Errorf("error %v, %d counted", err, p.counter(peer.MetricBad))
				}
			})
		})
	}
}

// malformedCall returns a Gossip call whose message is not valid protobuf.
func malformedCall() []byte {
	const rpc = "/fuchsiahub.peer.Peer/Gossip"
	call := append([]byte{0b0000011, 1, 1, byte(len(rpc))}, rpc...)
	return append(call, 0b0000101, 1, 2, 2, 0xff, 0xff)
}

// Guards against a reply that is too large or of an unknown version and is accepted or not counted.
func TestBadReplyIsCountedAndRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newClientAndServer(t, peer.Handlers{
			Gossip: func(context.Context, *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
				return &peerpb.GossipReply{Sender: &peerpb.Sender{Instance: remote, Protocol: 99}}, nil
			},
			Documents: func(context.Context, *peerpb.DocumentsRequest) (*peerpb.DocumentsReply, error) {
				return &peerpb.DocumentsReply{Documents: []*peerpb.Document{{Value: make([]byte, 2<<20)}}}, nil
			},
		})
		defer p.close()
		if _, err := p.client.Gossip(context.Background(), remote, &peerpb.GossipRequest{Sender: sender()}); !fault.Is(err, fault.BadPeer) {
			t.Errorf("reply of an unknown version gives %v", err)
		}
		if _, err := p.client.Documents(context.Background(), remote, &peerpb.DocumentsRequest{Sender: sender()}); !fault.Is(err, fault.BadPeer) {
			t.Errorf("reply that is too large gives %v", err)
		}
		if n := p.counter(peer.MetricBad); n != 2 {
			t.Errorf("%d bad messages counted, want 2", n)
		}
	})
}

// oversizedFrame returns a frame of 2 MiB: a control byte that marks the message as complete, stream 1, message 1, the
// length and the data.
func oversizedFrame() []byte {
	return append([]byte{0b0000101, 1, 1, 0x80, 0x80, 0x80, 0x01}, make([]byte, 2<<20)...)
}

func mustNotRun(t *testing.T) func(context.Context, *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
	return func(context.Context, *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
		t.Error("the handler was called")
		return nil, errors.New("called")
	}
}

// Guards against a drain that interrupts a call in flight, and against calls that start after it.
func TestDrainFinishesCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		p := newClientAndServer(t, peer.Handlers{Gossip: answerGossip, Settle: func(context.Context, *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
			<-release
			return &peerpb.SettleReply{Recorded: true}, nil
		}})
		defer p.close()
		settled := make(chan error, 1)
		go func() {
			_, err := p.client.Settle(context.Background(), remote, &peerpb.SettleRequest{Sender: sender()})
			settled <- err
		}()
		_, err := p.client.Gossip(context.Background(), remote, &peerpb.GossipRequest{Sender: sender()})
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- p.server.Drain(context.Background()) }()
		synctest.Wait()
		if _, err = p.client.Gossip(context.Background(), remote, &peerpb.GossipRequest{Sender: sender()}); !fault.Is(err, fault.Stopping) {
			t.Errorf("call to a draining server gives %v, want kind %s", err, fault.Stopping)
		}
		select {
		case <-drained:
			t.Error("drain ended before the call")
		default:
		}
		close(release)
		if err := <-settled; err != nil {
			t.Errorf("call in progress: %v", err)
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
	})
}

// Guards against calls that wait forever when the client task ends.
func TestClientEndsWithCallsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newClientAndServer(t, peer.Handlers{Claim: func(ctx context.Context, _ *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		ended := make(chan error, 20)
		for range cap(ended) {
			go func() {
				_, err := p.client.Claim(context.Background(), remote, &peerpb.ClaimRequest{Sender: sender()})
				ended <- err
			}()
		}
		synctest.Wait()
		p.close()
		for range cap(ended) {
			if err := <-ended; err == nil {
				t.Error("a call without an answer gave no error")
			}
		}
	})
}

// Guards against calls that work only over the in-memory network: uses TCP sockets, with and without TLS.
func TestCallOverTCP(t *testing.T) {
	certificateSource := httptest.NewUnstartedServer(nil)
	certificateSource.StartTLS() // provides a certificate for 127.0.0.1
	defer certificateSource.Close()
	roots := certificateSource.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
	cases := map[string]struct{ server, client *tls.Config }{
		"plain": {},
		"tls":   {server: &tls.Config{Certificates: certificateSource.TLS.Certificates}, client: &tls.Config{RootCAs: roots}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server, err := peer.NewServer(peer.Handlers{Gossip: answerGossip}, c.server, metrics.NewRegistry(), slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			defer startTask(t, func(ctx context.Context) error { return server.Run(ctx, listener) })()
			client, err := peer.NewClient(view, peer.NetDialer, c.client, metrics.NewRegistry())
			if err != nil {
				t.Fatal(err)
			}
			defer startTask(t, client.Run)()
			if _, err := client.Gossip(context.Background(), listener.Addr().String(), &peerpb.GossipRequest{Sender: sender()}); err != nil {
				t.Fatal(err)
			}
		})
	}
}
