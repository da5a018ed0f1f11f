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
	// quarantineCapacity is the mailbox size of the task. When it is full, requests that lost a connection block, and
	// reports of incarnations are dropped: the next answer of the server repeats them.
	quarantineCapacity = 1024
	// examineTimeout bounds the dial that checks whether a server crashed. It is shorter than the parameter "examine" of
	// the chart.
	examineTimeout = time.Second
	// strikeTimeout bounds a Strike call to peers. The answers of the affected requests wait for it.
	strikeTimeout = 500 * time.Millisecond
	// trialMargin is added to the deadline of a request, to allow for the message that ends its trial.
	trialMargin = time.Second
)

// QuarantineParts are the dependencies of Quarantine.
type QuarantineParts struct {
	// Secret is the key of the fingerprints and equal on all instances. Without it, strikes are not sent to peers.
	Secret []byte
	// Self is this instance.
	Self  member.Instance
	Peers peer.Caller
	// View returns the current view of the fleet; it never returns nil.
	View func() *member.View
	// RegionOf returns the region of an availability zone, or "" if it is unknown.
	RegionOf func(zone string) string
	Dial     backend.Dialer
	// Condemned is called when the number of refused fingerprints has grown. It must not block and may be nil.
	Condemned func()
	Log       *slog.Logger
}

// Quarantine is the task that attributes crashes of backend servers to the requests that were running on them, and marks
// the requests that must run alone or be refused. It also arbitrates trials: runs of a marked request alone on a server.
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

// trial is the run of a request with one strike alone on a server. This instance is the arbiter of the server.
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

// Run is the body of the quarantine task. It ends with the context.
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

// arm sets the timer to the next timeout of the state.
func (q *Quarantine) arm(timer *time.Timer) {
	if due, ok := q.state.Deadline(); ok {
		timer.Reset(time.Until(due))
		return
	}
	timer.Reset(time.Hour)
}

// publish makes the current marks visible to requests.
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

// lost handles a broken connection. It starts one check of the server for all connections that break meanwhile.
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

// examine dials the server to find out whether a process listens there.
func (q *Quarantine) examine(ctx context.Context, server quarantine.Server, address string) {
	dialCtx, cancel := context.WithTimeout(ctx, examineTimeout)
	defer cancel()
	socket, err := q.parts.Dial(dialCtx, address)
	if err == nil {
		_ = socket.Close() // nothing was written to it
	}
	q.inbox.SendUntil(q.ended, serverExamined{server: server, refused: refusedConnection(err)})
}

// refusedConnection reports whether an error proves that no process listens at the address. A timeout proves nothing.
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

// answered clears the strikes of a marked request that was answered, here and at peers.
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

// spread publishes the marks, sends the strikes to peers, and then releases the waiting requests.
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

// tell sends a message to all live instances of the regions and waits for their replies, at most strikeTimeout.
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
			q.parts.Log.Warn("strike message to a peer failed", "error", err)
		}
	}
}

// grantTrial grants a trial unless another one is running on the server and has not expired.
func (q *Quarantine) grantTrial(now time.Time, m trialAsked) bool {
	running, ok := q.trials[m.server]
	if ok && now.Before(running.until) {
		return false
	}
	q.trials[m.server] = m.trial
	return true
}

// endTrial frees the server, unless its trial has expired and been replaced by another one.
func (q *Quarantine) endTrial(m trialEnded) {
	running := q.trials[m.server]
	if running.holder == m.trial.holder && running.number == m.trial.number {
		delete(q.trials, m.server)
	}
}

// QuarantineStatus is the status of the quarantine at one instance, for operators.
type QuarantineStatus struct {
	// Alone is the number of fingerprints whose requests run alone, and Refused of those whose requests are refused.
	Alone   int `json:"alone"`
	Refused int `json:"refused"`
}

// Status returns the status of the quarantine at this instance.
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

// The methods below are called from the goroutines of requests. A nil Quarantine marks no request.

// active reports whether any fingerprint is marked. If none is, requests need not compute theirs.
func (q *Quarantine) active() bool { return q != nil && len(q.snapshot.Load().Marks) > 0 }

// treatment returns how requests with the fingerprint are treated, and whether the fingerprint is marked.
func (q *Quarantine) treatment(f quarantine.Fingerprint) (quarantine.Treatment, bool) {
	t, marked := q.snapshot.Load().Marks[f]
	return t, marked
}

func (q *Quarantine) fingerprint(req *call.Request) quarantine.Fingerprint {
	return quarantine.Of(q.parts.Secret, req)
}

// incarnation returns the incarnation that the server reported last.
func (q *Quarantine) incarnation(s quarantine.Server) string {
	if q == nil {
		return ""
	}
	return q.snapshot.Load().Incarnations[s]
}

// note reports a new incarnation or a refused connection that an exchange with the server has shown.
func (q *Quarantine) note(s quarantine.Server, r backend.Result) {
	if q == nil {
		return
	}
	if r.Incarnation != "" && q.incarnation(s) != r.Incarnation {
		_ = q.inbox.Offer(serverStarted{server: s, incarnation: r.Incarnation}) // the next answer repeats it
	}
	if r.Refused && q.active() && refusedConnection(r.Err) {
		_ = q.inbox.Offer(serverExamined{server: s, refused: true}) // if the mailbox is full, the task's own check finds it
	}
}

// lostConnection reports a broken connection and waits until the check of the server is done and peers have received the
// strikes.
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

// clear reports that a marked request was answered, so that its strikes are removed.
func (q *Quarantine) clear(f quarantine.Fingerprint, regions []string) {
	q.inbox.SendUntil(q.ended, requestAnswered{fingerprint: f, regions: regions})
}

// try requests a trial on a server from its arbiter. It returns the function that ends the trial, also if it was refused.
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

// endRemote ends a trial at its arbiter. If the message is lost, the trial expires.
func (q *Quarantine) endRemote(arbiter string, s quarantine.Server, t trial) {
	ctx, cancel := context.WithTimeout(context.Background(), strikeTimeout)
	defer cancel()
	_, _ = q.parts.Peers.Strike(ctx, arbiter, q.trialMessage(s, t, true)) // after a failure the trial expires
}

func (q *Quarantine) askTrial(ctx context.Context, s quarantine.Server, t trial) bool {
	reply := make(chan bool, 1)
	if !q.inbox.SendUntil(q.ended, trialAsked{server: s, trial: t, reply: reply}) {
		return false
	}
	granted, err := await(ctx, q.ended, reply)
	return err == nil && granted
}

// arbiter returns the name of the instance that grants trials on a server, one at a time. It is in the region of the
// server, which the request may enter anyway, so its fingerprint stays in its home regions.
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
