package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// gossipCost runs gossip between member tables with encoded messages, without a transport, and measures its cost.
type gossipCost struct {
	tb     testing.TB
	now    time.Time
	rnd    *rand.Rand
	tables map[string]*member.Table
	names  []string
	// bytes and messages count what was sent. maxEntries is the largest number of entries of a message.
	bytes, messages, maxEntries int
	// skipEncoding passes messages without encoding them. Encoding takes most of the time under the race detector.
	skipEncoding bool
}

func newGossipCost(tb testing.TB, seed uint64, size int) *gossipCost {
	ch, err := charts.Load("peer", nil)
	if err != nil {
		tb.Fatal(err)
	}
	g := &gossipCost{tb: tb, now: time.Unix(1_700_000_000, 0), rnd: rand.New(rand.NewPCG(seed, 1)), tables: map[string]*member.Table{}}
	var all []member.Instance
	for i := range size {
		region := []string{"permian", "gulf"}[i%2]
		all = append(all, member.Instance{
			Name: fmt.Sprintf("entry-%03d", i), Incarnation: member.NewIncarnation(g.now), Region: region, Zone: region + "-a",
			PeerAddress: fmt.Sprintf("10.20.%d.%d:7000", i/200, i%200),
		})
	}
	for _, self := range all {
		table, err := member.New(ch, self, nil)
		if err != nil {
			tb.Fatal(err)
		}
		table.SetListed(g.now, all)
		table.SetState(member.Serving)
		table.SetConfig(member.ConfigVersion{Digest: 0x123456789abcdef, Fleet: 40_000})
		g.tables[self.Name] = table
		g.names = append(g.names, self.Name)
	}
	return g
}

// rounds runs n rounds. In each, every instance sends its requests and replies to those of others.
func (g *gossipCost) rounds(n int) {
	for range n {
		for _, name := range g.names {
			g.now = g.now.Add(member.RoundInterval / time.Duration(len(g.names)))
			for _, to := range g.tables[name].StartRound(g.now, g.rnd) {
				g.exchange(g.tables[name], g.tables[to])
			}
		}
	}
}

func (g *gossipCost) exchange(from, to *member.Table) {
	if g.skipEncoding {
		m := from.Request(g.now)
		g.receive(to, m)
		g.receive(from, to.Reply(g.now, m))
		return
	}
	request := &peerpb.GossipRequest{}
	g.transmit(encodeGossipRequest(from.Request(g.now)), request)
	m := decodeGossip(request, request.GetFull())
	g.maxEntries = max(g.maxEntries, len(m.Entries))
	g.receive(to, m)
	reply := &peerpb.GossipReply{}
	g.transmit(encodeGossipReply(to.Reply(g.now, m)), reply)
	g.receive(from, decodeGossip(reply, false))
}

// transmit encodes and decodes a message, and counts it.
func (g *gossipCost) transmit(out, in proto.Message) {
	data, err := proto.Marshal(out)
	if err == nil {
		err = proto.Unmarshal(data, in)
	}
	if err != nil {
		g.tb.Fatal(err)
	}
	g.bytes += len(data)
	g.messages++
}

func (g *gossipCost) receive(table *member.Table, m member.Message) {
	if _, err := table.Receive(g.now, m); err != nil {
		g.tb.Fatal(err)
	}
}

// warmUp runs rounds until the entries of new instances are no longer sent with their addresses.
func (g *gossipCost) warmUp() {
	g.skipEncoding = true
	g.rounds(int(12 * time.Second / member.RoundInterval))
	g.skipEncoding = false
}

// Guards against gossip whose cost per instance grows with the fleet: the number of messages, the entries of a message, and
// the bytes, which must stay below the target of 21 KB per second for all control traffic of an instance.
func TestGossipCostDoesNotGrowWithFleet(t *testing.T) {
	const perSecond, seconds = 21_000, 2
	// Three messages within the region in each round, one message to another region and one to a lost member in each fourth
	// round, each with a reply.
	const messages = 2 * (3 + 0.25 + 0.25)
	for _, size := range []int{15, 60, 200} {
		g := newGossipCost(t, 41, size)
		g.warmUp()
		g.rounds(int(seconds * time.Second / member.RoundInterval))
		if each := g.bytes / size / seconds; each > perSecond {
			t.Errorf("size %d: each instance sends %d bytes per second, target %d", size, each, perSecond)
		}
		rounds := float64(size) * float64(seconds*time.Second/member.RoundInterval)
		if each := float64(g.messages) / rounds; each > messages || g.maxEntries > member.MaxEntries {
			t.Errorf("size %d: %.2f messages per instance and round, limit %.2f; longest %d entries", size, each, messages, g.maxEntries)
		}
	}
}

// BenchmarkGossipRound measures one round of one instance with encoding but without a transport: the requests that it
// sends, their replies, and its replies to others.
func BenchmarkGossipRound(b *testing.B) {
	for _, size := range []int{15, 60, 200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			g := newGossipCost(b, 41, size)
			g.warmUp()
			for b.Loop() {
				g.rounds(1)
			}
			rounds := float64(b.N * size)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/rounds, "ns/round")
			b.ReportMetric(float64(g.bytes)/rounds, "B-sent/round")
		})
	}
}
