package node

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// quarantineCapacity bounds the messages that wait at the task. Requests that lost a connection block when it is
	// full; reports of incarnations are dropped and come again with the next answer.
	quarantineCapacity = 1024
	// examineTimeout bounds the dial that examines a server. It is shorter than the parameter "examine" of the chart.
	examineTimeout = time.Second
	// strikeTimeout bounds how long a caller's answer waits for peers to learn of a strike.
	strikeTimeout = 500 * time.Millisecond
	// trialMargin is added to the time that is left to a request, for the message that ends its trial.
	trialMargin = time.Second
)

// QuarantineParts is what Quarantine is built from.
type QuarantineParts struct {
	// Secret is the key of the fingerprints, the same on all instances. Without it strikes are not shared.
	Secret []byte
	// Self is this instance.
	Self  member.Instance
	Peers peer.Caller
	// View returns the current view of the fleet; it never returns nil.
	View func() *member.View
	// RegionOf returns the region of an availability zone, or "" when it is not known.
	RegionOf func(zone string) string
	Dial     backend.Dialer
	// Condemned is called when more fingerprints are refused than before. It must not block; nil is not called.
	Condemned func()
	Log       *slog.Logger
}

// Quarantine is the task that remembers which requests were running when backend servers crashed.
type Quarantine struct {
	parts    QuarantineParts
	share    bool
	inbox    *task.Mailbox[any]
	ended    chan struct{}
	snapshot atomic.Pointer[quarantine.Snapshot]
	number   atomic.Uint64

	state     *quarantine.Quarantine
	examining map[quarantine.Server][]chan<- struct{}
	trials    map[quarantine.Server]trial
}

// trial is a run of a request with one strike on a server that this instance arbitrates.
type trial struct {
	holder string
	number uint64
	until  time.Time
}

// Messages to the quarantine task.
type (
	connectionLost struct {
		loss    quarantine.Loss
		address string
		done    chan<- struct{}
	}
	serverExamined struct {
		server  quarantine.Server
		refused bool
	}
	serverStarted struct {
		server      quarantine.Server
		incarnation string
	}
	requestAnswered struct {
		fingerprint quarantine.Fingerprint
		regions     []string
	}
	peerStrikes struct {
		strikes []quarantine.Strike
		cleared []quarantine.Fingerprint
		done    chan<- struct{}
	}
	trialAsked struct {
		server quarantine.Server
		trial  trial
		reply  chan<- bool
	}
	trialEnded struct {
		server quarantine.Server
		trial  trial
	}
)

// NewQuarantine returns the quarantine task. Run starts it.
func NewQuarantine(parts QuarantineParts) (*Quarantine, error) {
	ch, err := charts.Load("quarantine", nil)
	if err != nil {
		return nil, err
	}
	state, err := quarantine.New(ch, charts.DefaultParams()["confirm_within"])
	if err != nil {
		return nil, err
	}
	q := &Quarantine{
		parts: parts, share: len(parts.Secret) > 0, inbox: task.NewMailbox[any]("quarantine", quarantineCapacity),
		ended: make(chan struct{}), state: state, examining: map[quarantine.Server][]chan<- struct{}{},
		trials: map[quarantine.Server]trial{},
	}
	if !q.share {
		q.parts.Secret = []byte(rand.Text())
	}
	q.snapshot.Store(state.Snapshot())
	return q, nil
}

// Run is the body of the task.
func (q *Quarantine) Run(ctx context.Context) error {
	defer close(q.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		q.arm(timer)
		select {
		case m := <-q.inbox.C():
			q.handle(ctx, m)
		case <-timer.C:
			q.state.Tick(time.Now())
			q.publish()
		case <-ctx.Done():
			return nil
		}
	}
}

func (q *Quarantine) arm(timer *time.Timer) {
	if due, ok := q.state.Deadline(); ok {
		timer.Reset(time.Until(due))
		return
	}
	timer.Reset(time.Hour)
}

func (q *Quarantine) publish() {
	before := q.Status().Refused
	q.snapshot.Store(q.state.Snapshot())
	if q.parts.Condemned != nil && q.Status().Refused > before {
		q.parts.Condemned()
	}
}

func (q *Quarantine) handle(ctx context.Context, m any) {
	now := time.Now()
	switch m := m.(type) {
	case connectionLost:
		q.lost(ctx, now, m)
	case serverExamined:
		q.examined(ctx, now, m)
	case serverStarted:
		q.spread(ctx, q.state.Started(now, m.server, m.incarnation), nil)
	case requestAnswered:
		q.answered(ctx, now, m)
	case peerStrikes:
		q.struck(now, m)
	case trialAsked:
		m.reply <- q.grantTrial(now, m)
	case trialEnded:
		q.endTrial(m)
	}
}

// lost examines the server, once for all connections that it broke at about the same time.
func (q *Quarantine) lost(ctx context.Context, now time.Time, m connectionLost) {
	if strikes := q.state.Lost(now, m.loss); len(strikes) > 0 {
		q.spread(ctx, strikes, []chan<- struct{}{m.done})
		return
	}
	q.publish()
	waiting, running := q.examining[m.loss.Server]
	q.examining[m.loss.Server] = append(waiting, m.done)
	if !running {
		go q.examine(ctx, m.loss.Server, m.address)
	}
}

func (q *Quarantine) examine(ctx context.Context, server quarantine.Server, address string) {
	dialCtx, cancel := context.WithTimeout(ctx, examineTimeout)
	defer cancel()
	socket, err := q.parts.Dial(dialCtx, address)
	if err == nil {
		_ = socket.Close() // nothing was written to it
	}
	q.inbox.SendUntil(q.ended, serverExamined{server: server, refused: refusedConnection(err)})
}

// refusedConnection reports whether an error shows that no process listens. A dial that timed out does not.
func refusedConnection(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

func (q *Quarantine) examined(ctx context.Context, now time.Time, m serverExamined) {
	waiting := q.examining[m.server]
	delete(q.examining, m.server)
	if !m.refused {
		q.state.Accepted(now, m.server)
		q.spread(ctx, nil, waiting)
		return
	}
	q.spread(ctx, q.state.Refused(now, m.server), waiting)
}

func (q *Quarantine) answered(ctx context.Context, now time.Time, m requestAnswered) {
	known := q.state.Clear(now, m.fingerprint)
	q.publish()
	if known && q.share {
		go q.tell(ctx, m.regions, func() *peerpb.StrikeRequest {
			return &peerpb.StrikeRequest{Sender: q.sender(), Cleared: [][]byte{m.fingerprint[:]}}
		})
	}
}

func (q *Quarantine) struck(now time.Time, m peerStrikes) {
	for _, s := range m.strikes {
		q.state.Strike(now, s)
	}
	for _, f := range m.cleared {
		q.state.Clear(now, f)
	}
	q.publish()
	close(m.done)
}

// spread publishes strikes, tells peers and then lets the requests go on that wait for it.
func (q *Quarantine) spread(ctx context.Context, strikes []quarantine.Strike, waiting []chan<- struct{}) {
	q.publish()
	if len(strikes) == 0 || !q.share {
		closeAll(waiting)
		return
	}
	go func() {
		defer closeAll(waiting)
		for _, s := range strikes {
			q.tell(ctx, s.Regions, func() *peerpb.StrikeRequest {
				return &peerpb.StrikeRequest{Sender: q.sender(), Strikes: []*peerpb.Strike{strikeMessage(s)}}
			})
		}
	}()
}

func closeAll(waiting []chan<- struct{}) {
	for _, done := range waiting {
		close(done)
	}
}

// tell sends a message to all live instances of the regions and waits for them, for strikeTimeout.
func (q *Quarantine) tell(ctx context.Context, regions []string, message func() *peerpb.StrikeRequest) {
	ctx, cancel := context.WithTimeout(ctx, strikeTimeout)
	defer cancel()
	targets := slices.DeleteFunc(q.parts.View().In(regions...), func(i member.Instance) bool { return i.Name == q.parts.Self.Name })
	told := make(chan error, len(targets))
	for _, i := range targets {
		go func() {
			_, err := q.parts.Peers.Strike(ctx, i.Name, message())
			told <- err
		}()
	}
	for range targets {
		if err := <-told; err != nil {
			q.parts.Log.Warn("a peer was not told of a crash", "error", err)
		}
	}
}

func (q *Quarantine) grantTrial(now time.Time, m trialAsked) bool {
	running, ok := q.trials[m.server]
	if ok && now.Before(running.until) {
		return false
	}
	q.trials[m.server] = m.trial
	return true
}

func (q *Quarantine) endTrial(m trialEnded) {
	running := q.trials[m.server]
	if running.holder == m.trial.holder && running.number == m.trial.number {
		delete(q.trials, m.server)
	}
}

// QuarantineStatus is what operators see of the quarantine at one instance.
type QuarantineStatus struct {
	// Alone and Refused count the fingerprints whose requests run alone or are refused.
	Alone   int `json:"alone"`
	Refused int `json:"refused"`
}

// Status returns what operators see of the quarantine at this instance.
func (q *Quarantine) Status() QuarantineStatus {
	var status QuarantineStatus
	for _, t := range q.snapshot.Load().Marks {
		switch t {
		case quarantine.Alone:
			status.Alone++
		case quarantine.Refuse:
			status.Refused++
		}
	}
	return status
}

// The methods below are called by requests. A nil Quarantine marks nothing.

// active reports whether any fingerprint is marked, so that requests compute theirs only when it matters.
func (q *Quarantine) active() bool { return q != nil && len(q.snapshot.Load().Marks) > 0 }

// treatment returns what requests with the fingerprint get, and whether it is marked at all.
func (q *Quarantine) treatment(f quarantine.Fingerprint) (quarantine.Treatment, bool) {
	t, marked := q.snapshot.Load().Marks[f]
	return t, marked
}

func (q *Quarantine) fingerprint(req *call.Request) quarantine.Fingerprint {
	return quarantine.Of(q.parts.Secret, req)
}

// incarnation returns what the server last reported.
func (q *Quarantine) incarnation(s quarantine.Server) string {
	if q == nil {
		return ""
	}
	return q.snapshot.Load().Incarnations[s]
}

// note reports what an exchange showed about a server.
func (q *Quarantine) note(s quarantine.Server, r backend.Result) {
	if q == nil {
		return
	}
	if r.Incarnation != "" && q.incarnation(s) != r.Incarnation {
		_ = q.inbox.Offer(serverStarted{server: s, incarnation: r.Incarnation}) // the next answer reports it again
	}
	if r.Refused && q.active() && refusedConnection(r.Err) {
		_ = q.inbox.Offer(serverExamined{server: s, refused: true}) // the task also examines the server itself
	}
}

// lostConnection reports a broken connection and waits until it is known whether the server crashed.
func (q *Quarantine) lostConnection(ctx context.Context, l quarantine.Loss, address string) {
	if q == nil {
		return
	}
	done := make(chan struct{})
	q.inbox.SendUntil(q.ended, connectionLost{loss: l, address: address, done: done})
	select {
	case <-done:
	case <-ctx.Done():
	case <-q.ended:
	}
}

// clear reports that a marked request was answered.
func (q *Quarantine) clear(f quarantine.Fingerprint, regions []string) {
	q.inbox.SendUntil(q.ended, requestAnswered{fingerprint: f, regions: regions})
}

// try asks for the right to run a request alone on a server, and returns the function that ends the run.
func (q *Quarantine) try(ctx context.Context, s quarantine.Server, zone string) (end func(), granted bool) {
	t := trial{holder: q.parts.Self.Name, number: q.number.Add(1), until: time.Now().Add(trialMargin)}
	if due, ok := ctx.Deadline(); ok {
		t.until = due.Add(trialMargin)
	}
	arbiter := q.arbiter(s, zone)
	if arbiter == q.parts.Self.Name {
		granted = q.askTrial(ctx, s, t)
		return func() { q.inbox.SendUntil(q.ended, trialEnded{server: s, trial: t}) }, granted
	}
	ask, cancel := context.WithTimeout(ctx, strikeTimeout)
	defer cancel()
	reply, err := q.parts.Peers.Strike(ask, arbiter, q.trialMessage(s, t, false))
	return func() { go q.endRemote(arbiter, s, t) }, err == nil && reply.TrialGranted
}

// endRemote frees the server at its arbiter. When the message is lost, the trial ends by its term.
func (q *Quarantine) endRemote(arbiter string, s quarantine.Server, t trial) {
	ctx, cancel := context.WithTimeout(context.Background(), strikeTimeout)
	defer cancel()
	_, _ = q.parts.Peers.Strike(ctx, arbiter, q.trialMessage(s, t, true)) // the term ends the trial otherwise
}

func (q *Quarantine) askTrial(ctx context.Context, s quarantine.Server, t trial) bool {
	reply := make(chan bool, 1)
	if !q.inbox.SendUntil(q.ended, trialAsked{server: s, trial: t, reply: reply}) {
		return false
	}
	granted, err := await(ctx, q.ended, reply)
	return err == nil && granted
}

// arbiter returns the instance that lets one marked request at a time run on a server: one of the server's region,
// which the request may enter anyway.
func (q *Quarantine) arbiter(s quarantine.Server, zone string) string {
	if !q.share {
		return q.parts.Self.Name
	}
	candidates := q.parts.View().In(q.parts.RegionOf(zone))
	winner, ok := member.Rendezvous("trial\x00"+s.Service+"\x00"+s.Name, candidates)
	if !ok {
		return q.parts.Self.Name
	}
	return winner.Name
}
