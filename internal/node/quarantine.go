package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
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

// QuarantineOptions are the dependencies of Quarantine.
type QuarantineOptions struct {
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
	// OnRefusal is called when the number of refused fingerprints has grown. It must not block and may be nil.
	OnRefusal func()
	Log       *slog.Logger
}

// Quarantine is the task that attributes crashes of backend servers to the requests that were running on them, and marks
// the requests that must run alone or be refused. It also arbitrates trials: runs of a marked request alone on a server.
type Quarantine struct {
	options       QuarantineOptions
	sharesStrikes bool
	inbox         *task.Mailbox[any]
	ended         chan struct{}
	snapshot      atomic.Pointer[quarantine.Snapshot]
	trialCount    atomic.Uint64

	state          *quarantine.Quarantine
	examineWaiters map[quarantine.Server][]chan<- struct{}
	trials         map[quarantine.Server]trial
}

// trial is the run of a request with one strike alone on a server. This instance is the arbiter of the server.
type trial struct {
	holder    string
	number    uint64
	expiresAt time.Time
}

// Messages to the quarantine task.
type (
	connectionLoss struct {
		connection quarantine.BrokenConnection
		address    string
		done       chan<- struct{}
	}
	examineResult struct {
		server  quarantine.Server
		refused bool
	}
	incarnationReport struct {
		server      quarantine.Server
		incarnation string
	}
	answerReport struct {
		fingerprint quarantine.Fingerprint
		regions     []string
	}
	peerStrikes struct {
		strikes []quarantine.Strike
		cleared []quarantine.Fingerprint
		done    chan<- struct{}
	}
	trialRequest struct {
		server quarantine.Server
		trial  trial
		reply  chan<- bool
	}
	trialEnd struct {
		server quarantine.Server
		trial  trial
	}
	// condemnedTrialStart starts the trial that is due for a condemned fingerprint. The reply is false if none is.
	condemnedTrialStart struct {
		fingerprint quarantine.Fingerprint
		reply       chan<- bool
	}
	// condemnedTrialEnd ends it without an answer.
	condemnedTrialEnd struct{ fingerprint quarantine.Fingerprint }
)

// NewQuarantine returns the quarantine task. Run starts it.
func NewQuarantine(options QuarantineOptions) (*Quarantine, error) {
	ch, err := charts.Load("quarantine", nil)
	if err != nil {
		return nil, err
	}
	state, err := quarantine.New(ch, charts.DefaultParams()["confirm_within"])
	if err != nil {
		return nil, err
	}
	q := &Quarantine{
		options: options, sharesStrikes: len(options.Secret) > 0, inbox: task.NewMailbox[any]("quarantine", quarantineCapacity),
		ended: make(chan struct{}), state: state, examineWaiters: map[quarantine.Server][]chan<- struct{}{},
		trials: map[quarantine.Server]trial{},
	}
	if !q.sharesStrikes {
		q.options.Secret = []byte(rand.Text())
	}
	q.snapshot.Store(state.Snapshot(time.Now()))
	return q, nil
}

// Run is the body of the quarantine task. It ends with the context.
func (q *Quarantine) Run(ctx context.Context) error {
	defer close(q.ended)
	alarm := task.NewAlarm("quarantine", q.options.Log)
	defer alarm.Stop()
	for {
		due, _ := q.state.Deadline()
		alarm.Set(due)
		select {
		case m := <-q.inbox.C():
			q.handle(ctx, m)
		case <-alarm.C():
			q.state.Tick(time.Now())
			q.publish()
		case <-ctx.Done():
			return nil
		}
	}
}

// publish makes the current marks visible to requests.
func (q *Quarantine) publish() {
	before := q.Status().Refused
	q.snapshot.Store(q.state.Snapshot(time.Now()))
	if q.options.OnRefusal != nil && q.Status().Refused > before {
		q.options.OnRefusal()
	}
}

func (q *Quarantine) handle(ctx context.Context, m any) {
	now := time.Now()
	switch m := m.(type) {
	case connectionLoss:
		q.handleLoss(ctx, now, m)
	case examineResult:
		q.handleExamineResult(ctx, now, m)
	case incarnationReport:
		q.shareStrikes(ctx, q.state.IncarnationReported(now, m.server, m.incarnation), nil)
	case answerReport:
		q.handleAnswer(ctx, now, m)
	case peerStrikes:
		q.handlePeerStrikes(now, m)
	case trialRequest:
		m.reply <- q.grantTrial(now, m)
	case trialEnd:
		q.endTrial(m)
	case condemnedTrialStart:
		t, due := q.state.NextTrial(now, m.fingerprint)
		if due {
			q.state.StartTrial(now, t)
			q.publish()
		}
		m.reply <- due
	case condemnedTrialEnd:
		q.state.EndTrial(now, m.fingerprint)
		q.publish()
	}
}

// handleLoss handles a broken connection. Unless the loss results in strikes at once, the server is checked, once for all
// connections that break at about the same time.
func (q *Quarantine) handleLoss(ctx context.Context, now time.Time, m connectionLoss) {
	if strikes := q.state.ConnectionBroke(now, m.connection); len(strikes) > 0 {
		q.shareStrikes(ctx, strikes, []chan<- struct{}{m.done})
		return
	}
	q.publish()
	waiting, running := q.examineWaiters[m.connection.Server]
	q.examineWaiters[m.connection.Server] = append(waiting, m.done)
	if !running {
		go q.examine(ctx, m.connection.Server, m.address)
	}
}

// examine dials the server to find out whether a process listens there.
func (q *Quarantine) examine(ctx context.Context, server quarantine.Server, address string) {
	dialCtx, cancel := context.WithTimeout(ctx, examineTimeout)
	defer cancel()
	socket, err := q.options.Dial(dialCtx, address)
	if err == nil {
		_ = socket.Close() // nothing was written to it
	}
	q.inbox.SendUntil(q.ended, examineResult{server: server, refused: isConnectionRefused(err)})
}

// isConnectionRefused reports whether an error proves that no process listens at the address. A timeout proves nothing.
func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

func (q *Quarantine) handleExamineResult(ctx context.Context, now time.Time, m examineResult) {
	waiting := q.examineWaiters[m.server]
	delete(q.examineWaiters, m.server)
	if !m.refused {
		q.state.ConnectionAccepted(now, m.server)
		q.shareStrikes(ctx, nil, waiting)
		return
	}
	q.shareStrikes(ctx, q.state.ConnectionRefused(now, m.server), waiting)
}

// handleAnswer removes the mark of a request that was answered, at this instance and, if it had strikes, at peers.
func (q *Quarantine) handleAnswer(ctx context.Context, now time.Time, m answerReport) {
	disproved, _ := q.state.Clear(now, m.fingerprint)
	q.publish()
	if len(disproved) > 0 && q.sharesStrikes {
		go q.sendToPeers(ctx, m.regions, func() *peerpb.StrikeRequest {
			return &peerpb.StrikeRequest{Sender: q.sender(), Cleared: [][]byte{m.fingerprint[:]}}
		})
	}
}

func (q *Quarantine) handlePeerStrikes(now time.Time, m peerStrikes) {
	for _, s := range m.strikes {
		q.state.Strike(now, s)
	}
	for _, f := range m.cleared {
		q.state.Clear(now, f)
	}
	q.publish()
	close(m.done)
}

// shareStrikes publishes the marks, sends the strikes to peers, and then releases the waiting requests.
func (q *Quarantine) shareStrikes(ctx context.Context, strikes []quarantine.Strike, waiting []chan<- struct{}) {
	q.publish()
	if len(strikes) == 0 || !q.sharesStrikes {
		closeAll(waiting)
		return
	}
	go func() {
		defer closeAll(waiting)
		for _, s := range strikes {
			q.sendToPeers(ctx, s.Regions, func() *peerpb.StrikeRequest {
				return &peerpb.StrikeRequest{Sender: q.sender(), Strikes: []*peerpb.Strike{encodeStrike(s)}}
			})
		}
	}()
}

func closeAll(waiting []chan<- struct{}) {
	for _, done := range waiting {
		close(done)
	}
}

// sendToPeers sends a message to all live instances of the regions and waits for their replies, at most strikeTimeout.
func (q *Quarantine) sendToPeers(ctx context.Context, regions []string, message func() *peerpb.StrikeRequest) {
	ctx, cancel := context.WithTimeout(ctx, strikeTimeout)
	defer cancel()
	targets := slices.DeleteFunc(q.options.View().In(regions...), func(i member.Instance) bool { return i.Name == q.options.Self.Name })
	errs := make(chan error, len(targets))
	for _, i := range targets {
		go func() {
			_, err := q.options.Peers.Strike(ctx, i.Name, message())
			errs <- err
		}()
	}
	for range targets {
		if err := <-errs; err != nil {
			q.options.Log.Warn("strike message to a peer failed", "error", err)
		}
	}
}

// grantTrial grants a trial unless another one is running on the server and has not expired.
func (q *Quarantine) grantTrial(now time.Time, m trialRequest) bool {
	running, ok := q.trials[m.server]
	if ok && now.Before(running.expiresAt) {
		return false
	}
	q.trials[m.server] = m.trial
	return true
}

// endTrial frees the server, unless its trial has expired and been replaced by another one.
func (q *Quarantine) endTrial(m trialEnd) {
	running := q.trials[m.server]
	if running.holder == m.trial.holder && running.number == m.trial.number {
		delete(q.trials, m.server)
	}
}

// QuarantineStatus is the status of the quarantine at one instance, for operators.
type QuarantineStatus struct {
	// Alone is the number of fingerprints whose requests run alone. Refused is the number of fingerprints whose requests are
	// refused.
	Alone   int `json:"alone"`
	Refused int `json:"refused"`
}

// Status returns the status of the quarantine at this instance.
func (q *Quarantine) Status() QuarantineStatus {
	var status QuarantineStatus
	for _, t := range q.snapshot.Load().Marks {
		switch t {
		case quarantine.RunAlone:
			status.Alone++
		case quarantine.Refuse, quarantine.RunTrial:
			status.Refused++
		}
	}
	return status
}

// The methods below are called from the goroutines of requests. A nil Quarantine marks no request.

// anyMarked reports whether any fingerprint is marked. If none is, requests need not compute theirs.
func (q *Quarantine) anyMarked() bool { return q != nil && len(q.snapshot.Load().Marks) > 0 }

// treatment returns how requests with the fingerprint are treated, and whether the fingerprint is marked.
func (q *Quarantine) treatment(f quarantine.Fingerprint) (quarantine.Treatment, bool) {
	t, marked := q.snapshot.Load().Marks[f]
	return t, marked
}

func (q *Quarantine) fingerprint(req *call.Request) quarantine.Fingerprint {
	return quarantine.FingerprintOf(q.options.Secret, req)
}

// incarnation returns the incarnation that the server reported last.
func (q *Quarantine) incarnation(s quarantine.Server) string {
	if q == nil {
		return ""
	}
	return q.snapshot.Load().Incarnations[s]
}

// observeResult reports a new incarnation or a refused connection that an exchange with the server has shown.
func (q *Quarantine) observeResult(s quarantine.Server, r backend.Result) {
	if q == nil {
		return
	}
	if r.Incarnation != "" && q.incarnation(s) != r.Incarnation {
		_ = q.inbox.Offer(incarnationReport{server: s, incarnation: r.Incarnation}) // the next answer repeats it
	}
	if r.ConnectionRefused && q.anyMarked() && isConnectionRefused(r.Err) {
		_ = q.inbox.Offer(examineResult{server: s, refused: true}) // if the mailbox is full, the task's own check finds it
	}
}

// reportConnectionLoss reports a broken connection and waits until the check of the server is done and peers have received
// the strikes.
func (q *Quarantine) reportConnectionLoss(ctx context.Context, c quarantine.BrokenConnection, address string) {
	if q == nil {
		return
	}
	done := make(chan struct{})
	q.inbox.SendUntil(q.ended, connectionLoss{connection: c, address: address, done: done})
	select {
	case <-done:
	case <-ctx.Done():
	case <-q.ended:
	}
}

// reportAnswered reports that a marked request was answered, so that its strikes are removed.
func (q *Quarantine) reportAnswered(f quarantine.Fingerprint, regions []string) {
	q.inbox.SendUntil(q.ended, answerReport{fingerprint: f, regions: regions})
}

// requestTrial requests a trial on a server from its arbiter. It returns the function that ends the trial, also if it was
// refused.
func (q *Quarantine) requestTrial(ctx context.Context, s quarantine.Server, zone string) (end func(), granted bool) {
	t := trial{holder: q.options.Self.Name, number: q.trialCount.Add(1), expiresAt: time.Now().Add(trialMargin)}
	if due, ok := ctx.Deadline(); ok {
		t.expiresAt = due.Add(trialMargin)
	}
	arbiter := q.arbiter(s, zone)
	if arbiter == q.options.Self.Name {
		granted = q.requestLocalTrial(ctx, s, t)
		return func() { q.inbox.SendUntil(q.ended, trialEnd{server: s, trial: t}) }, granted
	}
	callCtx, cancel := context.WithTimeout(ctx, strikeTimeout)
	defer cancel()
	reply, err := q.options.Peers.Strike(callCtx, arbiter, q.encodeTrial(s, t, false))
	return func() { go q.endRemoteTrial(arbiter, s, t) }, err == nil && reply.TrialGranted
}

// endRemoteTrial ends a trial at its arbiter. If the message is lost, the trial expires.
func (q *Quarantine) endRemoteTrial(arbiter string, s quarantine.Server, t trial) {
	ctx, cancel := context.WithTimeout(context.Background(), strikeTimeout)
	defer cancel()
	_, _ = q.options.Peers.Strike(ctx, arbiter, q.encodeTrial(s, t, true)) // after a failure the trial expires
}

// startCondemnedTrial starts the trial that is due for a condemned fingerprint. It returns false if none is, or if a trial of
// the fingerprint is running in the region.
func (q *Quarantine) startCondemnedTrial(ctx context.Context, f quarantine.Fingerprint) (end func(), granted bool) {
	endClaim, granted := q.requestTrial(ctx, quarantine.Server{Name: hex.EncodeToString(f[:])}, q.options.Self.Zone)
	end = func() {
		endClaim()
		q.inbox.SendUntil(q.ended, condemnedTrialEnd{fingerprint: f})
	}
	if !granted {
		return end, false
	}
	reply := make(chan bool, 1)
	if !q.inbox.SendUntil(q.ended, condemnedTrialStart{fingerprint: f, reply: reply}) {
		return end, false
	}
	due, err := awaitReply(ctx, q.ended, reply)
	return end, err == nil && due
}

func (q *Quarantine) requestLocalTrial(ctx context.Context, s quarantine.Server, t trial) bool {
	reply := make(chan bool, 1)
	if !q.inbox.SendUntil(q.ended, trialRequest{server: s, trial: t, reply: reply}) {
		return false
	}
	granted, err := awaitReply(ctx, q.ended, reply)
	return err == nil && granted
}

// arbiter returns the name of the instance that grants trials on a server, one at a time. It is in the region of the
// server, which the request may enter anyway. Without a secret or a live instance in that region, it is this instance.
func (q *Quarantine) arbiter(s quarantine.Server, zone string) string {
	if !q.sharesStrikes {
		return q.options.Self.Name
	}
	candidates := q.options.View().In(q.options.RegionOf(zone))
	winner, ok := member.Rendezvous("trial\x00"+s.Service+"\x00"+s.Name, candidates)
	if !ok {
		return q.options.Self.Name
	}
	return winner.Name
}
