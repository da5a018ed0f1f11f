package peer_test

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"storj.io/drpc/drpcwire"

	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// Guards against memory without a bound, a call that never ends and a connection that is kept, while a peer answers with
// bytes without an end.
func TestEndlessAnswersOfPeer(t *testing.T) {
	const sentCap = 4 << 20 // a peer that sends empty frames is not cut off before the time of the call
	frame := func(kind drpcwire.Kind, size int, done bool) []byte {
		return drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: kind, Data: make([]byte, size), Done: done})
	}
	for name, c := range map[string]struct {
		repeated []byte
		accepted int
	}{
		"no frames":          {make([]byte, 4<<10), 2 * peer.MaxMessageBytes},
		"unfinished message": {frame(drpcwire.KindMessage, 16<<10, false), 2 * peer.MaxMessageBytes},
		"unfinished error":   {frame(drpcwire.KindError, 16<<10, false), 2 * peer.MaxMessageBytes},
		"messages":           {frame(drpcwire.KindMessage, 16<<10, true), 2 * peer.MaxMessageBytes},
		"empty frames":       {bytes.Repeat(frame(drpcwire.KindMessage, 0, false), 1<<10), sentCap},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ended, dials := make(chan int, 16), &atomic.Int32{}
				dial := func(context.Context, string) (net.Conn, error) {
					dials.Add(1)
					near, far := net.Pipe()
					go func() {
						defer func() { _ = far.Close() }()
						buffer := make([]byte, 4<<10)
						if _, err := far.Read(buffer); err != nil { // bytes before the call would break the connection without it
							return
						}
						go func() { // the rest of the call is read and ignored
							for {
								if _, err := far.Read(buffer); err != nil {
									return
								}
							}
						}()
						sent, err := 0, error(nil)
						for n := 0; err == nil && sent < sentCap; sent += n {
							n, err = far.Write(c.repeated)
						}
						if err == nil {
							time.Sleep(time.Hour)
						}
						ended <- sent
					}()
					return near, nil
				}
				client, err := peer.NewClient(view, dial, nil, metrics.NewRegistry())
				if err != nil {
					t.Fatal(err)
				}
				stop := startTask(t, client.Run)
				for call := int32(1); call <= 2; call++ {
					start := time.Now()
					if _, err := client.Gossip(t.Context(), remote, &peerpb.GossipRequest{Sender: sender()}); err == nil {
						t.Error("the call has an answer")
					}
					if took := time.Since(start); took > time.Second || dials.Load() != call {
						t.Errorf("call %d ended after %s, on connection %d", call, took, dials.Load())
					}
				}
				stop()
				for range dials.Load() {
					if sent := <-ended; sent > c.accepted {
						t.Errorf("the peer could send %d bytes, at most %d are accepted", sent, c.accepted)
					}
				}
			})
		})
	}
}
