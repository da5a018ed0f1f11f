package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/docfile"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// gossipCapacity is the mailbox size of the gossip task.
	gossipCapacity = 256
	// maxExchanges bounds the exchanges in flight. It suffices for three rounds, which all end within a second.
	maxExchanges = 16
)

// Names of the metrics of the gossip task.
const (
	// MetricGossipRefused counts gossip messages that were refused.
	MetricGossipRefused = "gossip.refused_messages"
	// MetricGossipDropped counts gossip messages and notices that were dropped because the mailbox was full or too many
	// exchanges were in flight.
	MetricGossipDropped = "gossip.dropped_messages"
	// MetricDuplicateName counts messages that show another process with the name of this instance.
	MetricDuplicateName = "gossip.duplicate_names"
)

// GossipOptions are the settings and dependencies of the gossip task.
type GossipOptions struct {
	// Self is this instance. Its incarnation comes from NewIncarnation of package member.
	Self member.Instance
	// Seeds are the peer addresses of the first exchanges. They may be empty.
	Seeds  []string
	Caller peer.Caller
	// API is the object API that holds the platform's list of instances.
	API     objectapi.API
	Metrics metrics.Registry
	Log     *slog.Logger
	Rand    *rand.Rand
	// Notice is called with each change of a backend server that another instance reported. It must not block.
	Notice func(member.Notice)
	// PeerConfig is called with the version of the configuration that a peer has in force. It must not block.
	PeerConfig func(name string, v member.Version)
}

// Gossip is the task that exchanges heartbeats with peers. It owns the member table and publishes its view.
type Gossip struct {
	o     GossipOptions
	table *member.Table
	inbox *task.Mailbox[any]
	view  atomic.Pointer[member.View]
	ended chan struct{}

	// instances is the platform's list of instances by name; nil until it was read.
	instances map[string]member.Instance
	exchanges int
	left      chan<- struct{}

	refused, dropped, duplicates metrics.Counter
}

// Messages to the gossip task.
type (
	gossipAsked struct {
		in    *peerpb.GossipRequest
		reply chan<- gossipAnswer
	}
	gossipAnswer struct {
		out *peerpb.GossipReply
		err error
	}
	// exchanged is the result of an exchange. Out is nil if the peer did not reply.
	exchanged   struct{ out *peerpb.GossipReply }
	setState    struct{ state member.State }
	setConfig   struct{ version member.Version }
	reportState struct {
		service string
		notice  balance.Notice
	}
	leave struct{ reply chan<- struct{} }
)

// NewGossip returns the gossip task. Run starts it.
func NewGossip(o GossipOptions) (*Gossip, error) {
	ch, err := charts.Load("peer", nil)
	if err != nil {
		return nil, err
	}
	table, err := member.New(ch, o.Self, o.Seeds)
	if err != nil {
		return nil, err
	}
	g := &Gossip{
		o: o, table: table, inbox: task.NewMailbox[any]("gossip", gossipCapacity), ended: make(chan struct{}),
		refused:    metrics.GetOrRegisterCounter(MetricGossipRefused, o.Metrics),
		dropped:    metrics.GetOrRegisterCounter(MetricGossipDropped, o.Metrics),
		duplicates: metrics.GetOrRegisterCounter(MetricDuplicateName, o.Metrics),
	}
	g.view.Store(table.View())
	return g, nil
}

// View returns the latest view of the fleet.
func (g *Gossip) View() *member.View { return g.view.Load() }

// Sender returns the sender field of messages of this instance.
func (g *Gossip) Sender() *peerpb.Sender { return SenderOf(g.View().Self) }

// Handle handles a gossip message of a peer. The message is dropped if the mailbox is full; the next round sends newer
// entries.
func (g *Gossip) Handle(ctx context.Context, in *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
	reply := make(chan gossipAnswer, 1)
	if err := g.inbox.Offer(gossipAsked{in: in, reply: reply}); err != nil {
		g.dropped.Inc(1)
		return nil, err
	}
	select {
	case a := <-reply:
		return a.out, a.err
	case <-g.ended:
		return nil, fault.New(fault.Stopping, "ask another instance", "this instance is stopping")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// SetState sets the state that this instance gossips about itself.
func (g *Gossip) SetState(s member.State) { g.inbox.SendUntil(g.ended, setState{state: s}) }

// SetConfig sets the version of the configuration that this instance gossips.
func (g *Gossip) SetConfig(v member.Version) { g.inbox.SendUntil(g.ended, setConfig{version: v}) }

// Report gossips a change of a backend server that this instance observed. It is dropped if the mailbox is full; the
// keeper of the shard receives it with the next lease request.
func (g *Gossip) Report(service string, n balance.Notice) {
	if err := g.inbox.Offer(reportState{service: service, notice: n}); err != nil {
		g.dropped.Inc(1)
	}
}

// Leave announces the stop of this instance to peers. It returns when the exchanges or the context have ended.
func (g *Gossip) Leave(ctx context.Context) error {
	_, err := task.Ask(ctx, g.inbox, func(reply chan<- struct{}) any { return leave{reply: reply} })
	return err
}

// Run is the body of the gossip task. It ends after the context has ended and all exchanges have returned.
func (g *Gossip) Run(ctx context.Context) error {
	defer close(g.ended)
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		newWatcher(g.o.API, objectapi.Instances, g.inbox, g.o.Log).run(ctx)
	}()
	ticker := time.NewTicker(member.RoundTime)
	defer ticker.Stop()
	done, running := ctx.Done(), true
	for running || g.exchanges > 0 || watching != nil {
		select {
		case m := <-g.inbox.C():
			g.handle(ctx, m)
		case <-ticker.C:
			g.round(ctx)
		case <-watching:
			watching = nil
		case <-done:
			done, running = nil, false
		}
		g.view.Store(g.table.View())
	}
	return nil
}

func (g *Gossip) handle(ctx context.Context, m any) {
	now := time.Now()
	switch m := m.(type) {
	case gossipAsked:
		m.reply <- g.answer(now, m.in)
	case exchanged:
		g.finish(now, m.out)
	case setState:
		g.table.SetState(m.state)
	case setConfig:
		g.table.SetConfig(m.version)
	case reportState:
		g.table.Report(now, m.service, m.notice)
	case leave:
		g.leave(ctx, m)
	case listed:
		g.list(now, m)
	case changed:
		g.change(now, m.event)
	case unreadable:
		g.table.List(now, nil)
	case readable:
		g.relist(now)
	}
}

// round starts the exchanges of one round.
func (g *Gossip) round(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	for _, name := range g.table.Round(now, g.o.Rand) {
		if g.exchanges >= maxExchanges {
			g.dropped.Inc(1)
			continue
		}
		g.exchange(ctx, name, gossipRequest(g.table.Request(now)))
	}
}

// exchange sends a request to a peer in its own goroutine, which sends the reply to the mailbox.
func (g *Gossip) exchange(ctx context.Context, name string, request *peerpb.GossipRequest) {
	g.exchanges++
	go func() {
		out, err := g.o.Caller.Gossip(ctx, name, request)
		if err != nil {
			g.o.Log.Debug("gossip exchange failed", "peer", name, "error", err)
		}
		_ = g.inbox.Send(context.Background(), exchanged{out: out}) // the task runs until all exchanges have ended
	}()
}

// finish handles the end of an exchange.
func (g *Gossip) finish(now time.Time, out *peerpb.GossipReply) {
	g.exchanges--
	if out != nil {
		_ = g.receive(now, readGossip(out, false)) // receive counts and logs a refused reply
	}
	if g.exchanges == 0 && g.left != nil {
		g.left <- struct{}{}
		g.left = nil
	}
}

func (g *Gossip) answer(now time.Time, in *peerpb.GossipRequest) gossipAnswer {
	m := readGossip(in, in.GetFull())
	if err := g.receive(now, m); err != nil {
		return gossipAnswer{err: err}
	}
	return gossipAnswer{out: gossipReply(g.table.Reply(now, m))}
}

// receive merges a message into the member table and passes on its notices and its configuration version.
func (g *Gossip) receive(now time.Time, m member.Message) error {
	heard, err := g.table.Receive(now, m)
	if err != nil {
		g.refused.Inc(1)
		g.o.Log.Warn("gossip message was refused", "peer", m.From.Name, "error", err)
		return err
	}
	if heard.Duplicate {
		g.duplicates.Inc(1)
		g.o.Log.Error("another process uses the name of this instance, or its clock was set back", "instance", g.o.Self.Name, "peer", m.From.Name)
	}
	for _, n := range heard.Notices {
		g.o.Notice(n)
	}
	if m.Entries[0].State != member.Starting { // the configuration of a starting peer may be incomplete
		g.o.PeerConfig(m.From.Name, m.Config)
	}
	return nil
}

// leave announces the stop in one round of exchanges.
func (g *Gossip) leave(ctx context.Context, m leave) {
	g.table.SetState(member.Stopped)
	g.left = m.reply
	g.round(ctx)
	if g.exchanges == 0 {
		m.reply <- struct{}{}
		g.left = nil
	}
}

// list replaces the platform's list of instances.
func (g *Gossip) list(now time.Time, m listed) {
	g.instances = map[string]member.Instance{}
	for _, o := range m.objects {
		g.put(o)
	}
	g.relist(now)
}

// put adds an instance to the platform's list, or removes it if it is leaving. Invalid entries are ignored.
func (g *Gossip) put(o objectapi.Object) {
	doc, err := docfile.ReadInstance(string(o.Kind)+"/"+o.Name, o.Value)
	if err != nil || doc.Name != o.Name {
		g.refused.Inc(1)
		g.o.Log.Warn("entry of the platform's list of instances was ignored", "instance", o.Name, "error", err)
		return
	}
	if doc.Leaving {
		delete(g.instances, o.Name)
		return
	}
	g.instances[o.Name] = member.Instance{Name: doc.Name, Region: doc.Region, Zone: doc.Zone, PeerAddress: doc.PeerAddress}
}

func (g *Gossip) change(now time.Time, e objectapi.Event) {
	if g.instances == nil {
		return
	}
	if e.Deleted {
		delete(g.instances, e.Object.Name)
	} else {
		g.put(e.Object)
	}
	g.relist(now)
}

// relist passes the platform's list to the member table, if it was ever read.
func (g *Gossip) relist(now time.Time) {
	if g.instances == nil {
		return
	}
	list := make([]member.Instance, 0, len(g.instances))
	for _, i := range g.instances {
		list = append(list, i)
	}
	g.table.List(now, list)
}
