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
	// MetricGossipRefused counts gossip messages that were refused, and invalid entries of the platform's list of instances.
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
	Seeds []string
	Peers peer.Caller
	// API is the object API that holds the platform's list of instances.
	API     objectapi.API
	Metrics metrics.Registry
	Log     *slog.Logger
	Rand    *rand.Rand
	// OnNotice is called with each change of a backend server that another instance reported. It must not block.
	OnNotice func(member.Notice)
	// OnPeerVersion is called with the version of the configuration that a peer has in force. It must not block.
	OnPeerVersion func(name string, v member.ConfigVersion)
}

// Gossip is the task that exchanges heartbeats with peers. It owns the member table and publishes its view.
type Gossip struct {
	options GossipOptions
	table   *member.Table
	inbox   *task.Mailbox[any]
	view    atomic.Pointer[member.View]
	ended   chan struct{}

	// instances is the platform's list of instances by name; nil until it was read.
	instances         map[string]member.Instance
	exchangesInFlight int
	leaveReply        chan<- struct{}

	refused, dropped, duplicates metrics.Counter
}

// Messages to the gossip task.
type (
	inboundGossip struct {
		in    *peerpb.GossipRequest
		reply chan<- gossipResult
	}
	gossipResult struct {
		out *peerpb.GossipReply
		err error
	}
	// exchangeResult is the result of an exchange. Out is nil if the peer did not reply.
	exchangeResult struct{ out *peerpb.GossipReply }
	stateUpdate    struct{ state member.State }
	configUpdate   struct{ version member.ConfigVersion }
	noticeReport   struct {
		service string
		notice  balance.Notice
	}
	gossipLeaveRequest struct{ reply chan<- struct{} }
)

// NewGossip returns the gossip task. Run starts it.
func NewGossip(options GossipOptions) (*Gossip, error) {
	ch, err := charts.Load("peer", nil)
	if err != nil {
		return nil, err
	}
	table, err := member.New(ch, options.Self, options.Seeds)
	if err != nil {
		return nil, err
	}
	g := &Gossip{
		options: options, table: table, inbox: task.NewMailbox[any]("gossip", gossipCapacity), ended: make(chan struct{}),
		refused:    metrics.GetOrRegisterCounter(MetricGossipRefused, options.Metrics),
		dropped:    metrics.GetOrRegisterCounter(MetricGossipDropped, options.Metrics),
		duplicates: metrics.GetOrRegisterCounter(MetricDuplicateName, options.Metrics),
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
	reply := make(chan gossipResult, 1)
	if err := g.inbox.Offer(inboundGossip{in: in, reply: reply}); err != nil {
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
func (g *Gossip) SetState(s member.State) { g.inbox.SendUntil(g.ended, stateUpdate{state: s}) }

// SetConfig sets the version of the configuration that this instance gossips.
func (g *Gossip) SetConfig(v member.ConfigVersion) {
	g.inbox.SendUntil(g.ended, configUpdate{version: v})
}

// ReportNotice gossips a change of a backend server that this instance observed. It is dropped if the mailbox is full;
// the keeper of the shard receives it with the next lease request.
func (g *Gossip) ReportNotice(service string, n balance.Notice) {
	if err := g.inbox.Offer(noticeReport{service: service, notice: n}); err != nil {
		g.dropped.Inc(1)
	}
}

// Leave announces the stop of this instance to peers. It returns when the exchanges or the context have ended.
func (g *Gossip) Leave(ctx context.Context) error {
	_, err := task.Ask(ctx, g.inbox, func(reply chan<- struct{}) any { return gossipLeaveRequest{reply: reply} })
	return err
}

// Run is the body of the gossip task. It ends after the context has ended and all exchanges have returned.
func (g *Gossip) Run(ctx context.Context) error {
	defer close(g.ended)
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		newWatcher(g.options.API, objectapi.Instances, g.inbox, g.options.Log).run(ctx)
	}()
	ticker := time.NewTicker(member.RoundInterval)
	defer ticker.Stop()
	done, running := ctx.Done(), true
	for running || g.exchangesInFlight > 0 || watching != nil {
		select {
		case m := <-g.inbox.C():
			g.handle(ctx, m)
		case <-ticker.C:
			g.startRound(ctx)
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
	case inboundGossip:
		m.reply <- g.handleRequest(now, m.in)
	case exchangeResult:
		g.handleExchangeResult(now, m.out)
	case stateUpdate:
		g.table.SetState(m.state)
	case configUpdate:
		g.table.SetConfig(m.version)
	case noticeReport:
		g.table.Report(now, m.service, m.notice)
	case gossipLeaveRequest:
		g.announceLeave(ctx, m)
	case listResult:
		g.handleList(now, m)
	case changeEvent:
		g.handleChange(now, m.event)
	case unreadableEvent:
		g.table.SetListed(now, nil)
	case readableEvent:
		g.updateTable(now)
	}
}

// startRound starts the exchanges of one round.
func (g *Gossip) startRound(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	for _, name := range g.table.StartRound(now, g.options.Rand) {
		if g.exchangesInFlight >= maxExchanges {
			g.dropped.Inc(1)
			continue
		}
		g.startExchange(ctx, name, encodeGossipRequest(g.table.Request(now)))
	}
}

// startExchange sends a request to a peer in its own goroutine, which sends the reply to the mailbox.
func (g *Gossip) startExchange(ctx context.Context, name string, request *peerpb.GossipRequest) {
	g.exchangesInFlight++
	go func() {
		out, err := g.options.Peers.Gossip(ctx, name, request)
		if err != nil {
			g.options.Log.Debug("gossip exchange failed", "peer", name, "error", err)
		}
		_ = g.inbox.Send(context.Background(), exchangeResult{out: out}) // the task runs until all exchanges have ended
	}()
}

// handleExchangeResult handles the end of an exchange.
func (g *Gossip) handleExchangeResult(now time.Time, out *peerpb.GossipReply) {
	g.exchangesInFlight--
	if out != nil {
		_ = g.receive(now, decodeGossip(out, false)) // receive counts and logs a refused reply
	}
	if g.exchangesInFlight == 0 && g.leaveReply != nil {
		g.leaveReply <- struct{}{}
		g.leaveReply = nil
	}
}

func (g *Gossip) handleRequest(now time.Time, in *peerpb.GossipRequest) gossipResult {
	m := decodeGossip(in, in.GetFull())
	if err := g.receive(now, m); err != nil {
		return gossipResult{err: err}
	}
	return gossipResult{out: encodeGossipReply(g.table.Reply(now, m))}
}

// receive merges a message into the member table and passes on its notices and its configuration version.
func (g *Gossip) receive(now time.Time, m member.Message) error {
	received, err := g.table.Receive(now, m)
	if err != nil {
		g.refused.Inc(1)
		g.options.Log.Warn("gossip message was refused", "peer", m.From.Name, "error", err)
		return err
	}
	if received.Duplicate {
		g.duplicates.Inc(1)
		g.options.Log.Error("another process uses the name of this instance, or its clock was set back", "instance", g.options.Self.Name, "peer", m.From.Name)
	}
	for _, n := range received.Notices {
		g.options.OnNotice(n)
	}
	if m.Entries[0].State != member.Starting { // the configuration of a starting peer may be incomplete
		g.options.OnPeerVersion(m.From.Name, m.Config)
	}
	return nil
}

// announceLeave announces the stop in one round of exchanges.
func (g *Gossip) announceLeave(ctx context.Context, m gossipLeaveRequest) {
	g.table.SetState(member.Stopped)
	g.leaveReply = m.reply
	g.startRound(ctx)
	if g.exchangesInFlight == 0 {
		m.reply <- struct{}{}
		g.leaveReply = nil
	}
}

// handleList replaces the platform's list of instances.
func (g *Gossip) handleList(now time.Time, m listResult) {
	g.instances = map[string]member.Instance{}
	for _, o := range m.objects {
		g.putInstance(o)
	}
	g.updateTable(now)
}

// putInstance adds an instance to the platform's list, or removes it if it is leaving. Invalid entries are ignored.
func (g *Gossip) putInstance(o objectapi.Object) {
	doc, err := docfile.ReadInstance(string(o.Kind)+"/"+o.Name, o.Value)
	if err != nil || doc.Name != o.Name {
		g.refused.Inc(1)
		g.options.Log.Warn("entry of the platform's list of instances was ignored", "instance", o.Name, "error", err)
		return
	}
	if doc.Leaving {
		delete(g.instances, o.Name)
		return
	}
	g.instances[o.Name] = member.Instance{Name: doc.Name, Region: doc.Region, Zone: doc.Zone, PeerAddress: doc.PeerAddress}
}

func (g *Gossip) handleChange(now time.Time, e objectapi.Event) {
	if g.instances == nil {
		return
	}
	if e.Deleted {
		delete(g.instances, e.Object.Name)
	} else {
		g.putInstance(e.Object)
	}
	g.updateTable(now)
}

// updateTable passes the platform's list to the member table, if it was ever read.
func (g *Gossip) updateTable(now time.Time) {
	if g.instances == nil {
		return
	}
	list := make([]member.Instance, 0, len(g.instances))
	for _, i := range g.instances {
		list = append(list, i)
	}
	g.table.SetListed(now, list)
}
