package session

import (
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
)

// Verb is the kind of a call to the object API.
type Verb int

// Kinds of calls to the object API.
const (
	Read Verb = iota
	Create
	Update
)

// Op is one call to the object API for this instance's session. At most one is in flight at a time.
type Op struct {
	Verb Verb
	// Version is the version that an update requires the object to have.
	Version uint64
	Record  Record
	// Sent is a time before the call is made. The term starts then.
	Sent time.Time
}

// Outcome is how a call to the object API ended.
type Outcome int

// Outcomes of a call.
const (
	Done Outcome = iota
	// NotFound means that a read found no object.
	NotFound
	// Conflict means that a write found another version, or an object that already exists.
	Conflict
	// Unknown means that no answer arrived. A write may have taken effect, or may still do so.
	Unknown
)

// Result is the answer to an Op.
type Result struct {
	Outcome Outcome
	// Version and Record are the stored object after a call with outcome Done.
	Version uint64
	Record  Record
}

// AckRequest asks a witness to acknowledge a version of the session.
type AckRequest struct {
	Witness Identity
	Version uint64
	Sent    time.Time
}

// Holder maintains the session of this instance. It is the context of charts/session.toml and is owned by one task.
type Holder struct {
	self    Identity
	machine *chart.Machine[*Holder]
	// now is the time of the current event, for guards.
	now time.Time

	// recordCurrent is true when version and record match the object according to the last answer.
	recordCurrent bool
	version       uint64
	record        Record
	// exists is false when the last read found no object.
	exists bool
	// lastWrite is the latest write that was sent. pendingWitnesses holds the witnesses of the writes to the current
	// version whose outcome is not known. Such a write may still take effect, so the acknowledgement of these witnesses is
	// required too.
	lastWrite        Op
	pendingWitnesses []Identity
	// pendingWithoutWitness is true when such a write names no witness: the session may then be fenced at the end of its
	// term.
	pendingWithoutWitness bool
	sequence              uint64
	inFlight              bool
	nextCallAt            time.Time

	renewedAt        time.Time
	nextAckRequestAt time.Time
	// ackedAt holds, by witness, the time at which the latest acknowledged request was sent.
	ackedAt   map[Identity]time.Time
	renounced map[Identity]bool
}

// Bind binds the guards and actions of charts/session.toml to this package.
func Bind(ch *chart.Chart) (*chart.Bound[*Holder], error) {
	return chart.Bind(ch, chart.Bindings[*Holder]{
		Guards:  map[string]func(*Holder) bool{"acks_current": (*Holder).acksCurrent},
		Actions: map[string]func(*Holder){"reset": (*Holder).reset},
	})
}

// NewHolder returns a holder without a session.
func NewHolder(bound *chart.Bound[*Holder], now time.Time, self Identity) *Holder {
	h := &Holder{self: self, nextCallAt: now}
	h.machine = bound.New(now, h)
	return h
}

// reset discards everything known about the session. It is the entry action of the state "absent".
func (h *Holder) reset() {
	h.recordCurrent = false
	h.pendingWitnesses, h.pendingWithoutWitness = nil, false
	h.renewedAt = time.Time{}
	h.ackedAt = map[Identity]time.Time{}
	h.renounced = map[Identity]bool{}
}

func (h *Holder) fire(now time.Time, event string) {
	h.now = now
	if err := h.machine.Fire(now, event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

// State returns the current state of charts/session.toml.
func (h *Holder) State() string { return h.machine.State() }

// Ended reports whether the session has been renounced and will not be renewed.
func (h *Holder) Ended() bool { return h.machine.Final() }

// Authority returns the authority that the session grants now.
func (h *Holder) Authority() Authority {
	expiresAt, hasDeadline := h.machine.Deadline()
	if !h.machine.In("valid") || !hasDeadline {
		return Authority{Generation: h.record.Generation}
	}
	return Authority{Generation: h.record.Generation, ExpiresAt: expiresAt}
}

// Leave gives up the authority immediately. Next then returns the write that renounces the session.
func (h *Holder) Leave(now time.Time) {
	h.fire(now, "leave")
	h.nextCallAt = now
}

// Tick fires the timeouts that are due.
func (h *Holder) Tick(now time.Time) {
	h.now = now
	h.machine.Tick(now)
	h.restartExtension(now)
}

// restartExtension restarts the timeout of the state "extended" at the oldest acknowledgement.
func (h *Holder) restartExtension(now time.Time) {
	oldest := h.oldestAcknowledgement()
	if h.machine.In("extended") && !oldest.Equal(h.machine.Since()) {
		h.fire(oldest, "acknowledged")
		h.machine.Tick(now)
	}
}

// Wake returns the time at which Tick, Next or AckRequests must be called again.
func (h *Holder) Wake(now time.Time) time.Time {
	wake := now.Add(Term)
	if !h.inFlight && !h.Ended() && h.nextCallAt.Before(wake) {
		wake = h.nextCallAt
	}
	if due, ok := h.machine.Deadline(); ok && due.Before(wake) {
		wake = due
	}
	if h.machine.In("valid") && h.nextAckRequestAt.Before(wake) {
		wake = h.nextAckRequestAt
	}
	return wake
}

// Next returns the call to the object API that is due, if any. The caller makes it and passes its result to HandleResult.
func (h *Holder) Next(now time.Time, peers []member.Instance) (Op, bool) {
	if h.inFlight || h.Ended() || now.Before(h.nextCallAt) {
		return Op{}, false
	}
	if h.machine.In("leaving") && h.nothingToRenounce() {
		h.fire(now, "renounced")
		return Op{}, false
	}
	h.inFlight = true
	if !h.recordCurrent {
		return Op{Verb: Read, Sent: now}, true
	}
	return h.write(now, peers), true
}

func (h *Holder) nothingToRenounce() bool {
	return h.lastWrite.Sent.IsZero() || h.recordCurrent && !h.isOwn(h.record)
}

func (h *Holder) write(now time.Time, peers []member.Instance) Op {
	h.sequence++
	record := Record{Identity: h.self, Generation: h.record.Generation, Sequence: h.sequence}
	if !h.exists || !h.isOwn(h.record) {
		record.Generation++
	}
	if h.machine.In("leaving") {
		record.State = Renounced
	} else {
		record.Witnesses = h.nextWitnesses(now, peers)
	}
	op := Op{Verb: Update, Version: h.version, Record: record, Sent: now}
	if !h.exists {
		op.Verb = Create
	}
	h.lastWrite = op
	h.addPendingWitnesses(record.Witnesses)
	return op
}

// nextWitnesses chooses the witnesses of the next renewal. While renewals fail it adds no new one, because the session
// would then require the acknowledgement of an instance that has never acknowledged it.
func (h *Holder) nextWitnesses(now time.Time, peers []member.Instance) []Identity {
	if h.machine.In("valid") && !now.Before(h.renewedAt.Add(requestAcksAfter)) {
		live := slices.DeleteFunc(h.requiredWitnesses(), func(w Identity) bool { return !isLive(w, peers) })
		if len(live) > 0 {
			return live[:min(len(live), MaxWitnesses)]
		}
	}
	return chooseWitnesses(h.self, slices.Concat(h.record.Witnesses, h.pendingWitnesses), peers)
}

func isLive(id Identity, peers []member.Instance) bool {
	return slices.ContainsFunc(peers, func(p member.Instance) bool { return p.Name == id.Instance && p.Incarnation == id.Incarnation })
}

func (h *Holder) addPendingWitnesses(witnesses []Identity) {
	h.pendingWithoutWitness = h.pendingWithoutWitness || len(witnesses) == 0
	for _, w := range witnesses {
		if !slices.Contains(h.pendingWitnesses, w) {
			h.pendingWitnesses = append(h.pendingWitnesses, w)
		}
	}
}

// isOwn reports whether the record is an active session of this process.
func (h *Holder) isOwn(r Record) bool { return r.Identity == h.self && r.State == Active }

// HandleResult processes the result of a call that Next returned.
func (h *Holder) HandleResult(now time.Time, op Op, r Result) {
	h.inFlight = false
	h.Tick(now)
	switch {
	case r.Outcome == Unknown:
		h.recordCurrent = false
		h.nextCallAt = now.Add(RetryInterval)
	case op.Verb == Read:
		h.handleRead(now, r)
	case r.Outcome == Done:
		h.handleWritten(now, op, r.Version)
	default:
		h.recordCurrent = false
		h.nextCallAt = now
	}
}

func (h *Holder) handleWritten(now time.Time, op Op, version uint64) {
	h.setRecord(version, op.Record)
	if op.Record.State == Renounced {
		h.fire(now, "renounced")
		return
	}
	h.startTerm(now, op.Sent)
}

func (h *Holder) setRecord(version uint64, record Record) {
	if version != h.version {
		h.pendingWitnesses, h.pendingWithoutWitness = nil, false // writes to an older version can no longer take effect
	}
	h.recordCurrent, h.exists, h.version, h.record = true, true, version, record
}

// startTerm starts a new term at the time when the renewal was sent.
func (h *Holder) startTerm(now, sent time.Time) {
	h.renewedAt = sent
	h.fire(sent, "renewed")
	h.Tick(now)
	h.nextCallAt = later(now, sent.Add(RenewInterval))
	if h.machine.In("leaving") {
		h.nextCallAt = now
	}
	h.nextAckRequestAt = sent.Add(requestAcksAfter)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// handleRead processes the result of a read. It grants authority only if the object is the last write of this process,
// which is recognized by its sequence.
func (h *Holder) handleRead(now time.Time, r Result) {
	h.nextCallAt = now
	if r.Outcome == NotFound {
		h.fire(now, "lost")
		h.recordCurrent, h.exists, h.version, h.record = true, false, 0, Record{Generation: h.record.Generation}
		return
	}
	if !h.isOwn(r.Record) {
		h.handleForeignRecord(now, r)
		return
	}
	ownWrite := h.lastWrite.Record.Sequence == r.Record.Sequence
	h.setRecord(r.Version, r.Record)
	if ownWrite && !h.machine.In("leaving") {
		h.startTerm(now, h.lastWrite.Sent)
	}
}

// handleForeignRecord handles an object that is not an active session of this process. An Observer must fence the
// active session of an earlier process before this one may replace it.
func (h *Holder) handleForeignRecord(now time.Time, r Result) {
	h.fire(now, "lost")
	h.setRecord(r.Version, r.Record)
	if r.Record.State == Active {
		h.recordCurrent = false
		h.nextCallAt = now.Add(RetryInterval)
	}
}

// AckRequests returns the requests to witnesses that are due. They start when a renewal has failed.
func (h *Holder) AckRequests(now time.Time) []AckRequest {
	if !h.machine.In("valid") || now.Before(h.nextAckRequestAt) {
		return nil
	}
	h.nextAckRequestAt = now.Add(AckRequestInterval)
	var requests []AckRequest
	for _, w := range h.requiredWitnesses() {
		requests = append(requests, AckRequest{Witness: w, Version: h.version, Sent: now})
	}
	return requests
}

// HandleReply processes a witness's reply to a request that AckRequests returned.
func (h *Holder) HandleReply(now time.Time, request AckRequest, reply Reply) {
	h.Tick(now)
	if reply.Renounced {
		h.renounced[request.Witness] = true
	}
	if reply.Acknowledged && request.Sent.After(h.ackedAt[request.Witness]) {
		h.ackedAt[request.Witness] = request.Sent
	}
	h.restartExtension(now)
}

// requiredWitnesses returns the witnesses that must all acknowledge the session to extend it past its term.
func (h *Holder) requiredWitnesses() []Identity {
	list := slices.Clone(h.record.Witnesses)
	for _, w := range h.pendingWitnesses {
		if !slices.Contains(list, w) {
			list = append(list, w)
		}
	}
	return slices.DeleteFunc(list, func(w Identity) bool { return h.renounced[w] })
}

// oldestAcknowledgement returns the send time of the oldest of the required acknowledgements. It is zero when one is
// missing, or when the session could be fenced without a witness.
func (h *Holder) oldestAcknowledgement() time.Time {
	var oldest time.Time
	if len(h.record.Witnesses) == 0 || h.pendingWithoutWitness {
		return oldest
	}
	for i, w := range h.requiredWitnesses() {
		at := h.ackedAt[w]
		if i == 0 || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

func (h *Holder) acksCurrent() bool {
	oldest := h.oldestAcknowledgement()
	return !oldest.IsZero() && h.now.Before(oldest.Add(WitnessTerm))
}
