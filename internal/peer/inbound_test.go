package peer_test

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"storj.io/drpc/drpcwire"

	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// Guards against a process that loses its memory to requests of many peers that are begun and never end, and against calls of
// others that fail meanwhile.
func TestUnfinishedRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long, sender := 0, &peerpb.Sender{Instance: "edge-1", Incarnation: 1, Region: "east", Zone: "a", Protocol: peer.ProtocolVersion}
		p := newClientAndServer(t, peer.Handlers{News: func(_ context.Context, in *peerpb.NewsRequest) (*peerpb.NewsReply, error) {
			long += len(in.GetKnown())
			return &peerpb.NewsReply{}, nil
		}})
		frame := drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage,
			Data: bytes.Repeat([]byte("x"), 4<<10)})
		const connections, frames = 60, 250
		var kept, closed atomic.Int64
		for range connections {
			conn, err := p.network.dial(t.Context(), "")
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				for range frames {
					if _, err := conn.Write(frame); err != nil {
						closed.Add(1)
						return
					}
				}
				kept.Add(1)
				_, _ = conn.Read(make([]byte, 1)) // returns when the server closes the connection
				closed.Add(1)
			}()
		}
		time.Sleep(time.Second)
		if bytes := kept.Load() * frames * int64(len(frame)); bytes > 40<<20 || kept.Load() == 0 {
			t.Errorf("%d connections with %d bytes are kept", kept.Load(), bytes)
		}
		if n := p.counter("peer.bad_messages"); n == 0 {
			t.Error("no closed connection is counted")
		}
		if _, err := p.client.News(t.Context(), remote, &peerpb.NewsRequest{Sender: sender}); err != nil {
			t.Errorf("a short call: %v", err)
		}
		time.Sleep(11 * time.Second)
		if closed.Load() != connections {
			t.Errorf("%d of %d connections are closed after 12 s", closed.Load(), connections)
		}
		for range 3 { // one after the other on the same connection
			in := &peerpb.NewsRequest{Sender: sender, Known: make([]*peerpb.KnownKind, 2000)}
			for i := range in.Known {
				in.Known[i] = &peerpb.KnownKind{Kind: "a kind with a long name"}
			}
			if _, err := p.client.News(t.Context(), remote, in); err != nil {
				t.Errorf("a long call: %v", err)
			}
			time.Sleep(15 * time.Second)
		}
		if long != 6000 {
			t.Errorf("%d entries arrived", long)
		}
		p.close()
	})
}
