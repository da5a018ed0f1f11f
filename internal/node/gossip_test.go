package node_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/docfile"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/node"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// live returns the names of the instances that are live in the view of this one.
func (in *instance) live() []string {
	var names []string
	for _, i := range in.gossip.View().Live {
		names = append(names, i.Name)
	}
	return names
}

// Guards against gossip tasks that do not find each other by seeds, that keep an instance that left, or that never declare a
// failed instance dead.
func TestMembersJoinLeaveAndFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 61)
		defer c.stopAll()
		for i := range 5 {
			c.start(i)
		}
		time.Sleep(3 * time.Second)
		for _, in := range c.instances {
			if n := len(in.live()); n != 5 {
				t.Fatalf("%s sees %d of 5 instances as live", in.name, n)
			}
		}
		leaving, failing, rest := c.instances[address(3)], c.instances[address(4)], c.instances[address(0)]
		if err := leaving.gossip.Leave(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if n := len(rest.live()); n != 4 {
			t.Errorf("%d instances are live 3 s after one left, want 4", n)
		}
		failing.stop()
		time.Sleep(9 * time.Second)
		if n := len(rest.live()); n != 3 {
			t.Errorf("%d instances are live 9 s after one failed, want 3", n)
		}
	})
}

// Guards against instances without seeds that do not find each other by the platform's list, and against a view that does
// not show whether the list is readable.
func TestPlatformListNamesCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 62)
		defer c.stopAll()
		for i, leaving := range []bool{5: false, 6: true} {
			entry := document.Instance{Name: "listed-" + string(rune('a'+i)), Region: "permian", Zone: "permian-a", PeerAddress: address(i), Leaving: leaving}
			value, err := docfile.WriteInstance(&entry)
			if err != nil {
				t.Fatal(err)
			}
			c.mustWrite(objectapi.Instances, entry.Name, 0, value)
		}
		c.mustWrite(objectapi.Instances, "broken", 0, []byte("x = ["))
		in := c.start(0)
		time.Sleep(time.Second)
		if v := in.gossip.View(); len(v.Listed) != 6 || len(v.Members) != 7 {
			t.Errorf("%d instances are listed and %d known, want 6 and 7", len(v.Listed), len(v.Members))
		}
		if a, ok := in.gossip.View().Address("listed-f"); !ok || a != address(5) {
			t.Errorf("address of a listed instance is %q", a)
		}
		in.api.fail(true, 0, true)
		time.Sleep(time.Second)
		if v := in.gossip.View(); v.Listed != nil {
			t.Error("the list counts as read while the object API is down")
		}
		in.api.fail(false, 0, true)
		time.Sleep(9 * time.Second)
		if v := in.gossip.View(); len(v.Listed) != 6 {
			t.Errorf("%d instances are listed after the object API is available again, want 6", len(v.Listed))
		}
	})
}

// Guards against a notice that loses its service, server or state on the way, and against an invalid message that is
// answered or not counted.
func TestNoticesAndBadMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := metrics.NewRegistry()
		var got []member.Notice
		self := member.Instance{Name: "entry-1", Incarnation: 1, Region: "permian", Zone: "permian-a", PeerAddress: "10.0.0.1:7000"}
		g, err := node.NewGossip(node.GossipOptions{
			Self: self, Peers: caller{cluster: newCluster(t, 63)}, API: &client{store: newStore()}, Metrics: registry,
			Log: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(63, 0)),
			OnNotice: func(n member.Notice) { got = append(got, n) }, OnPeerVersion: func(string, member.ConfigVersion) {},
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- g.Run(ctx) }()
		request := func() *peerpb.GossipRequest {
			return &peerpb.GossipRequest{
				Sender: &peerpb.Sender{Instance: "entry-2", Incarnation: 7, Protocol: peer.ProtocolVersion},
				Members: []*peerpb.Member{{
					Instance: "entry-2", Incarnation: 7, Heartbeat: 3, State: peerpb.InstanceState_INSTANCE_STATE_SERVING,
					Region: "permian", Zone: "permian-b", PeerAddress: "10.0.0.2:7000",
				}},
				Notices: []*peerpb.ServerNotice{
					{Service: "intake", Server: "intake-1", State: peerpb.ServerState_SERVER_STATE_DRAINING, Sequence: 9, Origin: "entry-2"},
					{Service: "intake", Server: "intake-2", State: 77, Sequence: 10, Origin: "entry-2"},
				},
			}
		}
		for _, corrupt := range []func(*peerpb.GossipRequest){
			func(in *peerpb.GossipRequest) { in.Members = nil },
			func(in *peerpb.GossipRequest) { in.Members[0].State = 42 },
		} {
			in := request()
			corrupt(in)
			if _, err := g.Handle(ctx, in); !fault.Is(err, fault.BadPeer) {
				t.Errorf("bad message gives %v, want kind %s", err, fault.BadPeer)
			}
		}
		if n := metrics.GetOrRegisterCounter(node.MetricGossipRefused, registry).Count(); n != 2 || len(got) != 0 {
			t.Errorf("%d refused messages counted, want 2; notices %v", n, got)
		}
		out, err := g.Handle(ctx, request())
		if err != nil || out.Sender.Instance != "entry-1" || out.Members[0].PeerAddress != self.PeerAddress {
			t.Fatalf("reply %v, error %v", out, err)
		}
		synctest.Wait()
		want := member.Notice{Notice: balance.Notice{Server: "intake-1", State: balance.Draining}, Service: "intake", Origin: "entry-2", Sequence: 9}
		if len(got) != 1 || got[0] != want {
			t.Errorf("notices %v, want only %v", got, want)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}
