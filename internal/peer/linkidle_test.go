package peer

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// Guards against a link that is stopped as idle and fails a call which it took up after it had reported that it is idle.
func TestCallBehindIdleReportIsNotFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialed := make(chan struct{})
		dial := func(ctx context.Context, _ string) (net.Conn, error) {
			select {
			case <-dialed:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			near, _ := net.Pipe()
			return near, nil
		}
		client, err := NewClient(nil, dial, nil, metrics.NewRegistry())
		if err != nil {
			t.Fatal(err)
		}
		const name = "10.0.0.1:80"
		l := client.startLink(name, name)
		time.Sleep(outboundIdle)
		synctest.Wait()
		idle := <-client.inbox.C()
		reply := make(chan result, 1)
		client.routeCall(t.Context(), callRequest{to: name, call: peerCall{ctx: t.Context(), class: urgentClass, reply: reply,
			invoke: func(peerpb.DRPCPeerClient) (proto.Message, error) { return nil, nil }}})
		synctest.Wait() // the link takes up the call
		client.handle(t.Context(), idle)
		synctest.Wait()
		close(dialed)
		if r := <-reply; r.err != nil {
			t.Errorf("call failed: %v", r.err)
		}
		if client.links[name] == l {
			client.stopLink(name)
		}
		<-client.inbox.C() // the end of the link
	})
}
