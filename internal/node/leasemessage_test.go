package node

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/keeper"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

var leaseShard = keeper.Key{Service: "booking-svc", Zone: "malabar-a"}

// fullRequest is a request of an instance that uses all servers.
func fullRequest(holder string, sequence uint64, servers int) keeper.Request {
	req := keeper.Request{Holder: session.Identity{Instance: holder, Incarnation: 1764842526}, Sequence: sequence, Want: 2}
	for n := range servers {
		name := fmt.Sprintf("booking-svc-%02d", n)
		req.Held = append(req.Held, keeper.HeldSlots{Server: name, Slots: 2, Busy: 1})
		req.Reports = append(req.Reports, balance.Report{
			Server: name, Incarnation: "1764842526123", State: balance.Ready, Good: 40, Latency: 21 * time.Millisecond, Running: 3, Slots: 6,
		})
	}
	return req
}

// Guards against a field that is lost between instances, and against malformed messages that are accepted.
func TestLeaseMessages(t *testing.T) {
	req := fullRequest("entry-07", 9, 3)
	req.Leaving = true
	self := member.Instance{Name: req.Holder.Instance, Incarnation: req.Holder.Incarnation}
	key, got, err := decodeLeaseRequest(encodeLeaseRequest(self, leaseShard, req))
	if err != nil || key != leaseShard || !reflect.DeepEqual(got, req) {
		t.Errorf("request %+v of %v, %v, want %+v", got, key, err, req)
	}
	reply := keeper.Reply{Epoch: 4, Term: keeper.LeaseTerm, Servers: req.Reports,
		Grants: []balance.SlotGrant{{Server: "w1", Incarnation: "i1", Slots: 2, Cold: true}}}
	back, err := decodeLeaseReply(leaseShard, encodeLeaseReply(reply))
	if err != nil || !reflect.DeepEqual(back, reply) {
		t.Errorf("reply %+v, %v, want %+v", back, err, reply)
	}
	bad := []*peerpb.LeaseRequest{
		{Reports: []*peerpb.ServerReport{{State: 9}}},
		{Reports: []*peerpb.ServerReport{{}}},
		{Held: make([]*peerpb.HeldLease, maxLeaseEntries+1)},
	}
	for _, in := range bad {
		if _, _, err := decodeLeaseRequest(in); !fault.Is(err, fault.BadPeer) {
			t.Errorf("malformed request was accepted: %v", err)
		}
	}
}

// Guards against a server that turns cold again without a notice to the service, because a grant implied that it was
// ready, and against notices that are sent twice.
func TestServerNoticesAreSentOncePerChange(t *testing.T) {
	c := &shardClient{deliveredNotices: map[string]balance.Notice{}}
	cold := keeper.Reply{Servers: []balance.Report{{Server: "w1", Incarnation: "i1", State: balance.Cold}}}
	ready := keeper.Reply{Grants: []balance.SlotGrant{{Server: "w1", Incarnation: "i1", Slots: 1}}}
	for n, step := range []struct {
		reply keeper.Reply
		want  int
	}{{cold, 1}, {cold, 0}, {ready, 0}, {cold, 1}, {ready, 0}} {
		if got := c.newNotices(step.reply); len(got) != step.want {
			t.Errorf("reply %d: notices %+v, want %d", n, got, step.want)
		}
	}
}

// Guards against an object that loses a field, and against garbage that is decoded as a session or a table.
func TestKeeperObjects(t *testing.T) {
	record := session.Record{
		Identity: session.Identity{Instance: "entry-07", Incarnation: 3}, Generation: 2, Sequence: 8, State: session.Fenced, FencedBy: "entry-01",
		Witnesses: []session.Identity{{Instance: "entry-02", Incarnation: 1}},
	}
	value, err := encodeSession(record)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeSession(objectapi.Object{Name: "entry-07", Value: value})
	if err != nil || !reflect.DeepEqual(got, record) {
		t.Errorf("session %+v, %v, want %+v", got, err, record)
	}
	table := keeper.Table{Zone: "malabar-a", Version: 5, Entries: map[string]keeper.Entry{"booking-svc": {
		Owner: keeper.Owner{Identity: record.Identity, Generation: 2}, Epoch: 7, Released: true, WarmServers: []keeper.WarmServer{{Server: "w1", Incarnation: "i1"}},
	}}}
	value, err = encodeTable(table)
	if err != nil {
		t.Fatal(err)
	}
	back, err := decodeTable(objectapi.Object{Name: "malabar-a", Version: 5, Value: value})
	if err != nil || !reflect.DeepEqual(back, table) {
		t.Errorf("table %+v, %v, want %+v", back, err, table)
	}
	for _, garbage := range []string{"", "{", `{"instance":"other","state":"active"}`, `{"instance":"entry-07","state":"new"}`} {
		if _, err := decodeSession(objectapi.Object{Name: "entry-07", Value: []byte(garbage)}); !fault.Is(err, fault.Invalid) {
			t.Errorf("%q was decoded as a session: %v", garbage, err)
		}
	}
	if _, err := decodeTable(objectapi.Object{Value: []byte("[")}); !fault.Is(err, fault.Invalid) {
		t.Errorf("garbage was decoded as a table: %v", err)
	}
}

// holders is the number of instances in the benchmark. The servers have slots for all of them, so that every reply
// contains grants.
const holders = 15

// BenchmarkLeaseExchange measures one lease request of one of 15 holders without the transport: the decisions and
// encodings of both sides. It reports the message sizes.
func BenchmarkLeaseExchange(b *testing.B) {
	for _, servers := range []int{1, 3, 12} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) { benchmarkLeaseExchange(b, servers) })
	}
}

func benchmarkLeaseExchange(b *testing.B, servers int) {
	shard := warmShard(b, servers)
	authority := session.Authority{Generation: 1, ExpiresAt: time.Now().Add(time.Hour)}
	var requestBytes, replyBytes int
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		req := fullRequest(fmt.Sprintf("entry-%02d", n%holders), uint64(n+1), servers)
		self := member.Instance{Name: req.Holder.Instance, Incarnation: req.Holder.Incarnation, Region: "malabar", Zone: "malabar-a"}
		sent, received := new(peerpb.LeaseRequest), new(peerpb.LeaseReply)
		requestBytes = carryMessage(b, encodeLeaseRequest(self, leaseShard, req), sent)
		_, read, err := decodeLeaseRequest(sent)
		if err != nil {
			b.Fatal(err)
		}
		reply, err := shard.HandleRequest(time.Now(), authority, read)
		if err != nil {
			b.Fatal(err)
		}
		replyBytes = carryMessage(b, encodeLeaseReply(reply), received)
		if _, err := decodeLeaseReply(leaseShard, received); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(requestBytes), "request-B")
	b.ReportMetric(float64(replyBytes), "reply-B")
}

func warmShard(b *testing.B, servers int) *keeper.Shard {
	ch, err := charts.Load("lease", charts.Params{"lease_term": keeper.GracePeriod})
	if err != nil {
		b.Fatal(err)
	}
	bound, err := keeper.Bind(ch)
	if err != nil {
		b.Fatal(err)
	}
	var specs []keeper.Server
	var warm []keeper.WarmServer
	for _, h := range fullRequest("", 0, servers).Held {
		specs = append(specs, keeper.Server{Name: h.Server, Address: "10.0.0.1:80", Slots: 6 * holders, ColdAllowance: 1})
		warm = append(warm, keeper.WarmServer{Server: h.Server, Incarnation: "1764842526123"})
	}
	entry := keeper.Entry{Owner: keeper.Owner{Generation: 1}, Epoch: 1}
	return keeper.NewShard(bound, time.Now().Add(-time.Minute), leaseShard, entry, specs, warm)
}

func carryMessage(b *testing.B, from, to proto.Message) int {
	wire, err := proto.Marshal(from)
	if err != nil {
		b.Fatal(err)
	}
	if err := proto.Unmarshal(wire, to); err != nil {
		b.Fatal(err)
	}
	return len(wire)
}
