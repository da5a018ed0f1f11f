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
	// sessionCapacity bounds the messages that wait at the session task. Questions of peers are refused when it is full.
	sessionCapacity = 256
	// witnessTimeout bounds one question to a peer; a later answer would be of no use.
	witnessTimeout = time.Second
	// lookEvery is how often sessions of owners that are not live are read.
	lookEvery = time.Second
	// lookAround is every how many looks one live owner is read as well: it may have lost its session without
	// having failed. One in five keeps the reads of the whole fleet low.
	lookAround = 5
)

// SessionConfig is what a session task needs.
type SessionConfig struct {
	Self  member.Instance
	API   objectapi.API
	Peers peer.Caller
	View  func() *member.View
	Log   *slog.Logger
}

// Session is the task that holds the session of this instance, acts as witness for others and fences dead sessions.
type Session struct {
	SessionConfig
	id    session.Identity
	inbox *task.Mailbox[any]
	ended chan struct{}
	pendingCalls

	holder   *session.Holder
	witness  *session.Witness
	observer *session.Observer
	// owners are the instances whose sessions matter, because they own shards.
	owners   []session.Identity
	nextLook time.Time
	looks    int
	// reading and fencing name sessions with such a call under way.
	reading, fencing map[string]bool
	leavers          []chan<- struct{}

	authority atomic.Pointer[session.Authority]
	seen      atomic.Pointer[map[string]session.Record]
}

// Messages to a session task.
type (
	sessionAnswered struct {
		op     session.Op
		result session.Result
	}
	witnessAnswered struct {
		ask   session.AckRequest
		reply session.Reply
	}
	releaseAnswered struct {
		holder   string
		version  uint64
		released bool
	}
	sessionRead struct {
		name   string
		object objectapi.Object
		// fence is true when the object is what a fence has written.
		fence bool
		err   error
	}
	witnessAsked struct {
		in    *peerpb.WitnessRequest
		reply chan<- *peerpb.WitnessReply
	}
	ownersChanged struct{ owners []session.Identity }
	leaveSession  struct{ reply chan<- struct{} }
)

// NewSession returns the task of the own session. Run starts it.
func NewSession(config SessionConfig) (*Session, error) {
	ch, err := charts.Load("session", charts.Params{"session_term": session.Term, "witness_term": session.WitnessTerm})
	if err != nil {
		return nil, err
	}
	bound, err := session.Bind(ch)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	id := session.Identity{Instance: config.Self.Name, Incarnation: config.Self.Incarnation}
	s := &Session{
		SessionConfig: config, id: id, inbox: task.NewMailbox[any]("session", sessionCapacity), ended: make(chan struct{}),
		holder: session.NewHolder(bound, now, id), witness: session.NewWitness(now, id), observer: session.NewObserver(id),
		reading: map[string]bool{}, fencing: map[string]bool{}, nextLook: now,
	}
	s.pendingCalls.inbox = s.inbox
	s.authority.Store(&session.Authority{})
	s.seen.Store(&map[string]session.Record{})
	return s, nil
}

// Authority returns what the session allows. The caller compares its end with the time at which it acts.
func (s *Session) Authority() session.Authority { return *s.authority.Load() }

// Seen returns the sessions of others as they were read last. The map must not be changed.
func (s *Session) Seen() map[string]session.Record { return *s.seen.Load() }

// Look names the owners of shards, whose sessions are read when they seem dead. A full mailbox drops the message; the
// keeper task repeats it.
func (s *Session) Look(owners []session.Identity) { _ = s.inbox.Offer(ownersChanged{owners: owners}) }

// Witness answers the Witness message of a peer.
func (s *Session) Witness(ctx context.Context, in *peerpb.WitnessRequest) (*peerpb.WitnessReply, error) {
	return askUntil(ctx, s.ended, s.inbox, func(reply chan<- *peerpb.WitnessReply) any { return witnessAsked{in: in, reply: reply} })
}

// Leave gives up all authority at once and returns when the session is renounced in the object API.
func (s *Session) Leave(ctx context.Context) error {
	_, err := task.Ask(ctx, s.inbox, func(reply chan<- struct{}) any { return leaveSession{reply: reply} })
	return err
}

// Run is the body of the session's task. It ends after the context has ended and all calls have.
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
			timer.Reset(s.work(ctx, time.Now()))
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
	case sessionAnswered:
		s.answered(now, m)
	case witnessAnswered:
		s.holder.Acknowledged(now, m.ask, m.reply)
	case releaseAnswered:
		if m.released {
			s.observer.Released(m.holder, m.version)
		}
	case sessionRead:
		s.read(now, m)
	case witnessAsked:
		m.reply <- s.answerWitness(now, m.in)
	case ownersChanged:
		s.owners = m.owners
	case leaveSession:
		s.leavers = append(s.leavers, m.reply)
		s.witness.Leave()
		s.holder.Leave(now)
	}
}

// work makes all calls that are due and returns when there is more to do.
func (s *Session) work(ctx context.Context, now time.Time) time.Duration {
	view := s.View()
	s.holder.Tick(now)
	if op, ok := s.holder.Next(now, view.In(s.Self.Region)); ok {
		s.start(ctx, storeTimeout, func(ctx context.Context) any { return s.call(ctx, op) })
	}
	for _, ask := range s.holder.AckRequests(now) {
		s.start(ctx, witnessTimeout, func(ctx context.Context) any { return s.ask(ctx, ask) })
	}
	if !now.Before(s.nextLook) {
		s.nextLook = now.Add(lookEvery)
		s.look(ctx, view)
		s.fence(ctx, now, view)
	}
	wake := s.holder.Wake(now)
	if s.nextLook.Before(wake) {
		wake = s.nextLook
	}
	return max(time.Until(wake), time.Millisecond)
}

func (s *Session) publish() {
	if a := s.holder.Authority(); a != *s.authority.Load() {
		s.authority.Store(&a)
	}
	if s.holder.Ended() {
		for _, reply := range s.leavers {
			reply <- struct{}{}
		}
		s.leavers = nil
	}
}

// call makes one call to the object API for the own session.
func (s *Session) call(ctx context.Context, op session.Op) any {
	object, err := s.send(ctx, op)
	if err != nil {
		return sessionAnswered{op: op, result: session.Result{Outcome: outcomeOf(err)}}
	}
	if op.Verb != session.Read {
		return sessionAnswered{op: op, result: session.Result{Version: object.Version}}
	}
	record, err := decodeSession(object)
	if err != nil {
		s.Log.Error("own session cannot be read", "error", err)
		return sessionAnswered{op: op, result: session.Result{Outcome: session.Unknown}}
	}
	return sessionAnswered{op: op, result: session.Result{Version: object.Version, Record: record}}
}

func (s *Session) send(ctx context.Context, op session.Op) (objectapi.Object, error) {
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

// outcomeOf says what an error of the object API means. Whatever is not a clear answer leaves the outcome open.
func outcomeOf(err error) session.Outcome {
	switch fault.KindOf(err) {
	case fault.NotFound:
		return session.NotFound
	case fault.Conflict:
		return session.Conflict
	}
	return session.Unknown
}

func (s *Session) answered(now time.Time, m sessionAnswered) {
	if m.op.Verb == session.Read && m.result.Outcome == session.Done && m.result.Record.Identity != s.id {
		s.saw(now, m.result.Version, m.result.Record)
	}
	s.holder.Answered(now, m.op, m.result)
}

func (s *Session) saw(now time.Time, version uint64, record session.Record) {
	s.observer.See(now, version, record)
	seen := s.observer.Sessions()
	s.seen.Store(&seen)
}

// ask asks one witness for its acknowledgement. No answer is no acknowledgement.
func (s *Session) ask(ctx context.Context, ask session.AckRequest) any {
	reply, err := s.Peers.Witness(ctx, ask.Witness.Instance, &peerpb.WitnessRequest{
		Sender: senderOf(s.Self), SessionVersion: ask.Version, WitnessIncarnation: ask.Witness.Incarnation,
	})
	if err != nil {
		return witnessAnswered{ask: ask}
	}
	return witnessAnswered{ask: ask, reply: session.Reply{Acknowledged: reply.GetAcknowledged(), Renounced: reply.GetRenounced()}}
}

func senderOf(i member.Instance) *peerpb.Sender {
	return &peerpb.Sender{Instance: i.Name, Incarnation: i.Incarnation, Region: i.Region, Zone: i.Zone, Protocol: peer.ProtocolVersion}
}

// answerWitness answers a holder that asks for an acknowledgement or an observer that asks for a release.
func (s *Session) answerWitness(now time.Time, in *peerpb.WitnessRequest) *peerpb.WitnessReply {
	if in.GetRelease() != "" {
		released := s.witness.Release(now, in.GetRelease(), in.GetSessionVersion(), in.GetWitnessIncarnation())
		return &peerpb.WitnessReply{Released: released}
	}
	r := s.witness.Acknowledge(now, in.GetSender().GetInstance(), in.GetSessionVersion(), in.GetWitnessIncarnation())
	return &peerpb.WitnessReply{Acknowledged: r.Acknowledged, Renounced: r.Renounced}
}

// look reads the sessions of owners that are not live, and in turns one of the others.
func (s *Session) look(ctx context.Context, view *member.View) {
	s.looks++
	for i, owner := range s.owners {
		live, ok := view.Find(owner.Instance)
		inTurn := s.looks%lookAround == 0 && (s.looks/lookAround)%len(s.owners) == i
		if ok && live.Incarnation == owner.Incarnation && !inTurn || owner.Instance == s.id.Instance {
			continue
		}
		s.readSession(ctx, owner.Instance)
	}
}

func (s *Session) readSession(ctx context.Context, name string) {
	if s.reading[name] {
		return
	}
	s.reading[name] = true
	s.start(ctx, storeTimeout, func(ctx context.Context) any {
		object, err := s.API.Get(ctx, objectapi.Sessions, name)
		return sessionRead{name: name, object: object, err: err}
	})
}

// read takes a session of another instance, as it was read or as a fence left it.
func (s *Session) read(now time.Time, m sessionRead) {
	if m.fence {
		delete(s.fencing, m.name)
	} else {
		delete(s.reading, m.name)
	}
	if m.err != nil {
		return // the next look reads it again
	}
	record, err := decodeSession(m.object)
	if err != nil {
		s.Log.Error("session cannot be read", "error", err)
		return
	}
	s.saw(now, m.object.Version, record)
}

// fence ends sessions that are surely dead and asks witnesses about those that may be.
func (s *Session) fence(ctx context.Context, now time.Time, view *member.View) {
	for _, action := range s.observer.Due(now, s.witness, view) {
		if !action.Fence {
			s.askRelease(ctx, action)
			continue
		}
		if s.fencing[action.Holder] {
			continue
		}
		s.fencing[action.Holder] = true
		s.Log.Info("fencing a dead session", "instance", action.Holder, "version", action.Version)
		s.start(ctx, storeTimeout, func(ctx context.Context) any { return s.sendFence(ctx, action) })
	}
}

func (s *Session) sendFence(ctx context.Context, action session.Action) any {
	value, err := encodeSession(action.Record)
	if err != nil {
		return sessionRead{name: action.Holder, fence: true, err: err}
	}
	written, err := s.API.Update(ctx, objectapi.Sessions, action.Holder, action.Version, value)
	object := objectapi.Object{Kind: objectapi.Sessions, Name: action.Holder, Version: written.Version, Value: value}
	return sessionRead{name: action.Holder, object: object, fence: true, err: err}
}

func (s *Session) askRelease(ctx context.Context, action session.Action) {
	for _, w := range action.Ask {
		if w.Instance == s.id.Instance {
			continue
		}
		s.start(ctx, witnessTimeout, func(ctx context.Context) any {
			reply, err := s.Peers.Witness(ctx, w.Instance, &peerpb.WitnessRequest{
				Sender: senderOf(s.Self), SessionVersion: action.Version, Release: action.Holder, WitnessIncarnation: w.Incarnation,
			})
			return releaseAnswered{holder: action.Holder, version: action.Version, released: err == nil && reply.GetReleased()}
		})
	}
}
