package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// sessionCapacity is the mailbox size of the session task. Requests of peers are refused when it is full.
	sessionCapacity = 256
	// witnessTimeout bounds one request to a witness. A later reply would be of no use.
	witnessTimeout = time.Second
	// observeInterval is the interval at which the sessions of owners that are not live are read.
	observeInterval = time.Second
	// liveReadPeriod is the number of intervals after which the session of one live owner is read as well: an owner may lose
	// its session without failing. One read in five intervals keeps the reads of the whole fleet low.
	liveReadPeriod = 5
)

// SessionOptions are the dependencies of a session task.
type SessionOptions struct {
	Self  member.Instance
	API   objectapi.API
	Peers peer.Caller
	View  func() *member.View
	Log   *slog.Logger
}

// Session is the task that holds the session of this instance, acts as a witness for other instances, and fences the
// sessions of dead instances.
type Session struct {
	SessionOptions
	id    session.Identity
	inbox *task.Mailbox[any]
	ended chan struct{}
	pendingCalls

	holder   *session.Holder
	witness  *session.Witness
	observer *session.Observer
	// owners are the owners of shards. Only their sessions are observed.
	owners           []session.Identity
	nextObservation  time.Time
	observationCount int
	// readsInFlight and fencesInFlight hold the names of the sessions that have such a call in flight.
	readsInFlight, fencesInFlight map[string]bool
	leaveReplies                  []chan<- struct{}

	authority       atomic.Pointer[session.Authority]
	observedRecords atomic.Pointer[map[string]session.Record]
}

// Messages to a session task.
type (
	sessionResult struct {
		op     session.Op
		result session.Result
	}
	ackResult struct {
		request session.AckRequest
		reply   session.Reply
	}
	releaseResult struct {
		holder   string
		version  uint64
		released bool
	}
	sessionReadResult struct {
		name   string
		object objectapi.Object
		// fromFence is true if the object was written by a fence, and not read.
		fromFence bool
		err       error
	}
	witnessRequest struct {
		in    *peerpb.WitnessRequest
		reply chan<- *peerpb.WitnessReply
	}
	ownersUpdate        struct{ owners []session.Identity }
	sessionLeaveRequest struct{ reply chan<- struct{} }
)

// NewSession returns the session task of this instance. Run starts it.
func NewSession(options SessionOptions) (*Session, error) {
	ch, err := charts.Load("session", charts.Params{"session_term": session.Term, "witness_term": session.WitnessTerm})
	if err != nil {
		return nil, err
	}
	bound, err := session.Bind(ch)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	id := session.Identity{Instance: options.Self.Name, Incarnation: options.Self.Incarnation}
	s := &Session{
		SessionOptions: options, id: id, inbox: task.NewMailbox[any]("session", sessionCapacity), ended: make(chan struct{}),
		holder: session.NewHolder(bound, now, id), witness: session.NewWitness(now, id), observer: session.NewObserver(id),
		readsInFlight: map[string]bool{}, fencesInFlight: map[string]bool{}, nextObservation: now,
	}
	s.pendingCalls.inbox = s.inbox
	s.authority.Store(&session.Authority{})
	s.observedRecords.Store(&map[string]session.Record{})
	return s, nil
}

// Authority returns the authority that the session gives. The caller must compare its end with the time of each action.
func (s *Session) Authority() session.Authority { return *s.authority.Load() }

// Observed returns the last known sessions of other instances. The map must not be modified.
func (s *Session) Observed() map[string]session.Record { return *s.observedRecords.Load() }

// SetOwners sets the owners of shards, whose sessions are observed. The update is dropped if the mailbox is full; the
// keeper task repeats it.
func (s *Session) SetOwners(owners []session.Identity) {
	_ = s.inbox.Offer(ownersUpdate{owners: owners})
}

// HandleWitness handles a Witness message of a peer.
func (s *Session) HandleWitness(ctx context.Context, in *peerpb.WitnessRequest) (*peerpb.WitnessReply, error) {
	return askUntil(ctx, s.ended, s.inbox, func(reply chan<- *peerpb.WitnessReply) any { return witnessRequest{in: in, reply: reply} })
}

// Leave gives up all authority immediately and returns when the session is renounced in the object API.
func (s *Session) Leave(ctx context.Context) error {
	_, err := task.Ask(ctx, s.inbox, func(reply chan<- struct{}) any { return sessionLeaveRequest{reply: reply} })
	return err
}

// Run is the body of the session task. It ends after the context has ended and all calls have returned.
func (s *Session) Run(ctx context.Context) error {
	defer close(s.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	done, running := ctx.Done(), true
	for running || s.inFlight > 0 {
		select {
		case m := <-s.inbox.C():
			s.handle(time.Now(), m)
		case <-timer.C:
		case <-done:
			done, running = nil, false
		}
		if running {
			timer.Reset(s.startDueCalls(ctx, time.Now()))
		}
		s.publish()
	}
	s.authority.Store(&session.Authority{})
	return nil
}

func (s *Session) handle(now time.Time, m any) {
	switch m := m.(type) {
	case callResult:
		s.handle(now, s.done(m))
	case sessionResult:
		s.handleResult(now, m)
	case ackResult:
		s.holder.HandleReply(now, m.request, m.reply)
	case releaseResult:
		if m.released {
			s.observer.RecordRelease(m.holder, m.version)
		}
	case sessionReadResult:
		s.handleRead(now, m)
	case witnessRequest:
		m.reply <- s.answerWitness(now, m.in)
	case ownersUpdate:
		s.owners = m.owners
	case sessionLeaveRequest:
		s.leaveReplies = append(s.leaveReplies, m.reply)
		s.witness.Leave()
		s.holder.Leave(now)
	}
}

// startDueCalls starts all calls that are due and returns the wait until the next ones.
func (s *Session) startDueCalls(ctx context.Context, now time.Time) time.Duration {
	view := s.View()
	s.holder.Tick(now)
	if op, ok := s.holder.Next(now, view.In(s.Self.Region)); ok {
		s.start(ctx, storeTimeout, func(ctx context.Context) any { return s.callStore(ctx, op) })
	}
	for _, request := range s.holder.AckRequests(now) {
		s.start(ctx, witnessTimeout, func(ctx context.Context) any { return s.requestAck(ctx, request) })
	}
	if !now.Before(s.nextObservation) {
		s.nextObservation = now.Add(observeInterval)
		s.readOwnerSessions(ctx, view)
		s.fenceDeadSessions(ctx, now, view)
	}
	wake := s.holder.Wake(now)
	if s.nextObservation.Before(wake) {
		wake = s.nextObservation
	}
	return max(time.Until(wake), time.Millisecond)
}

// publish makes the current authority visible to other tasks and replies to Leave once the session has ended.
func (s *Session) publish() {
	if a := s.holder.Authority(); a != *s.authority.Load() {
		s.authority.Store(&a)
	}
	if s.holder.Ended() {
		for _, reply := range s.leaveReplies {
			reply <- struct{}{}
		}
		s.leaveReplies = nil
	}
}

// callStore makes one object API call for the session of this instance.
func (s *Session) callStore(ctx context.Context, op session.Op) any {
	object, err := s.execute(ctx, op)
	if err != nil {
		return sessionResult{op: op, result: session.Result{Outcome: outcomeOf(err)}}
	}
	if op.Verb != session.Read {
		return sessionResult{op: op, result: session.Result{Version: object.Version}}
	}
	record, err := decodeSession(object)
	if err != nil {
		s.Log.Error("session of this instance cannot be decoded", "error", err)
		return sessionResult{op: op, result: session.Result{Outcome: session.Unknown}}
	}
	return sessionResult{op: op, result: session.Result{Version: object.Version, Record: record}}
}

func (s *Session) execute(ctx context.Context, op session.Op) (objectapi.Object, error) {
	name := s.id.Instance
	if op.Verb == session.Read {
		return s.API.Get(ctx, objectapi.Sessions, name)
	}
	value, err := encodeSession(op.Record)
	if err != nil {
		return objectapi.Object{}, err
	}
	if op.Verb == session.Create {
		return s.API.Create(ctx, objectapi.Sessions, name, value)
	}
	return s.API.Update(ctx, objectapi.Sessions, name, op.Version, value)
}

// outcomeOf converts an object API error to an outcome. For all other errors it is unknown whether a write took effect.
func outcomeOf(err error) session.Outcome {
	switch fault.KindOf(err) {
	case fault.NotFound:
		return session.NotFound
	case fault.Conflict:
		return session.Conflict
	}
	return session.Unknown
}

// handleResult handles the result of an object API call for the session of this instance. The name may be held by another
// incarnation, whose session is then observed like any other.
func (s *Session) handleResult(now time.Time, m sessionResult) {
	if m.op.Verb == session.Read && m.result.Outcome == session.Done && m.result.Record.Identity != s.id {
		s.observe(now, m.result.Version, m.result.Record)
	}
	s.holder.HandleResult(now, m.op, m.result)
}

func (s *Session) observe(now time.Time, version uint64, record session.Record) {
	s.observer.Observe(now, version, record)
	seen := s.observer.Sessions()
	s.observedRecords.Store(&seen)
}

// requestAck requests an acknowledgement from one witness. A failed call counts as no acknowledgement.
func (s *Session) requestAck(ctx context.Context, request session.AckRequest) any {
	reply, err := s.Peers.Witness(ctx, request.Witness.Instance, &peerpb.WitnessRequest{
		Sender: senderOf(s.Self), SessionVersion: request.Version, WitnessIncarnation: request.Witness.Incarnation,
	})
	if err != nil {
		return ackResult{request: request}
	}
	return ackResult{request: request, reply: session.Reply{Acknowledged: reply.GetAcknowledged(), Renounced: reply.GetRenounced()}}
}

func senderOf(i member.Instance) *peerpb.Sender {
	return &peerpb.Sender{Instance: i.Name, Incarnation: i.Incarnation, Region: i.Region, Zone: i.Zone, Protocol: peer.ProtocolVersion}
}

// answerWitness handles the request of a holder for an acknowledgement or of an observer for a release.
func (s *Session) answerWitness(now time.Time, in *peerpb.WitnessRequest) *peerpb.WitnessReply {
	if in.GetRelease() != "" {
		released := s.witness.Release(now, in.GetRelease(), in.GetSessionVersion(), in.GetWitnessIncarnation())
		return &peerpb.WitnessReply{Released: released}
	}
	r := s.witness.Acknowledge(now, in.GetSender().GetInstance(), in.GetSessionVersion(), in.GetWitnessIncarnation())
	return &peerpb.WitnessReply{Acknowledged: r.Acknowledged, Renounced: r.Renounced}
}

// readOwnerSessions reads the sessions of the owners that are not live and, every liveReadPeriod intervals, the session of
// one other owner, in round-robin order.
func (s *Session) readOwnerSessions(ctx context.Context, view *member.View) {
	s.observationCount++
	for i, owner := range s.owners {
		live, ok := view.Find(owner.Instance)
		dueLiveRead := s.observationCount%liveReadPeriod == 0 && (s.observationCount/liveReadPeriod)%len(s.owners) == i
		if ok && live.Incarnation == owner.Incarnation && !dueLiveRead || owner.Instance == s.id.Instance {
			continue
		}
		s.readSession(ctx, owner.Instance)
	}
}

func (s *Session) readSession(ctx context.Context, name string) {
	if s.readsInFlight[name] {
		return
	}
	s.readsInFlight[name] = true
	s.start(ctx, storeTimeout, func(ctx context.Context) any {
		object, err := s.API.Get(ctx, objectapi.Sessions, name)
		return sessionReadResult{name: name, object: object, err: err}
	})
}

// handleRead handles a session of another instance that was read, or written by a fence.
func (s *Session) handleRead(now time.Time, m sessionReadResult) {
	if m.fromFence {
		delete(s.fencesInFlight, m.name)
	} else {
		delete(s.readsInFlight, m.name)
	}
	if m.err != nil {
		return // the next interval reads it again
	}
	record, err := decodeSession(m.object)
	if err != nil {
		s.Log.Error("session cannot be decoded", "error", err)
		return
	}
	s.observe(now, m.object.Version, record)
}

// fenceDeadSessions fences the sessions that are known to be dead, and requests releases from the witnesses of those that
// may be.
func (s *Session) fenceDeadSessions(ctx context.Context, now time.Time, view *member.View) {
	for _, action := range s.observer.DueActions(now, s.witness, view) {
		if !action.Fence {
			s.requestReleases(ctx, action)
			continue
		}
		if s.fencesInFlight[action.Holder] {
			continue
		}
		s.fencesInFlight[action.Holder] = true
		s.Log.Info("fencing a dead session", "instance", action.Holder, "version", action.Version)
		s.start(ctx, storeTimeout, func(ctx context.Context) any { return s.writeFence(ctx, action) })
	}
}

func (s *Session) writeFence(ctx context.Context, action session.Action) any {
	value, err := encodeSession(action.Record)
	if err != nil {
		return sessionReadResult{name: action.Holder, fromFence: true, err: err}
	}
	written, err := s.API.Update(ctx, objectapi.Sessions, action.Holder, action.Version, value)
	object := objectapi.Object{Kind: objectapi.Sessions, Name: action.Holder, Version: written.Version, Value: value}
	return sessionReadResult{name: action.Holder, object: object, fromFence: true, err: err}
}

func (s *Session) requestReleases(ctx context.Context, action session.Action) {
	for _, w := range action.AskWitnesses {
		if w.Instance == s.id.Instance {
			continue
		}
		s.start(ctx, witnessTimeout, func(ctx context.Context) any {
			reply, err := s.Peers.Witness(ctx, w.Instance, &peerpb.WitnessRequest{
				Sender: senderOf(s.Self), SessionVersion: action.Version, Release: action.Holder, WitnessIncarnation: w.Incarnation,
			})
			return releaseResult{holder: action.Holder, version: action.Version, released: err == nil && reply.GetReleased()}
		})
	}
}
