package gateway

import (
	"context"
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/era"
	"fuchsiahub.example/fuchsiahub/internal/decide/expiry"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// maxRewrites bounds the objects that one instance writes again after a return of the store.
const maxRewrites = 64

// restoration is the part of the board that holds what the instance knows against the copy from which the store has returned. It is
// the context of charts/era.toml.
type restoration struct {
	board   *board
	machine *chart.Machine[*restoration]
	eras    era.Tracker
	// eraBefore is the era before the last change, changedAt the time of the change; zero if there was none.
	eraBefore uint64
	changedAt time.Time
	// lastProblem is the last problem with the era of an answer, to log each once.
	lastProblem string

	// removed remembers the objects that were removed lately, since a copy may hold them again.
	removed *expiry.Table[objectKey, struct{}]
	// kept holds the objects that stay in force although the copy lacks them, ignored those that are not in force although it
	// holds them. Both end when the object is written or removed in the new era.
	kept, ignored *expiry.Table[objectKey, objectapi.Object]
	// rewrites holds the objects of the system that are to be written or removed again, until their time.
	rewrites *expiry.Table[objectKey, objectapi.Object]
	// newerConfig is the configuration in force while the store holds an older one; nil otherwise.
	newerConfig *objectapi.Object
	// adoptedConfig is the position of the last configuration that a peer passed on although the store holds an older one.
	adoptedConfig objectapi.Position

	// onReturn is called when the store has returned from an older copy, onUnreadable for each answer with an era that cannot be
	// read, and onEra with each era.
	onReturn, onUnreadable func()
	onEra                  func(uint64)
	// onRewrite is called for each strike or claim of a trial that is to be written or removed again.
	onRewrite func(rewrite)
}

// rewrite is an object of the system whose write or removal the store has lost.
type rewrite struct {
	object objectapi.Object
	remove bool
}

func newRestoration(b *board) (*restoration, error) {
	ch, err := charts.Load("era", nil)
	if err != nil {
		return nil, err
	}
	bindings, err := chart.Bind(ch, chart.Bindings[*restoration]{
		Actions: map[string]func(*restoration){
			"begin_restoration": (*restoration).begin,
			"report_restored":   (*restoration).report,
		},
	})
	if err != nil {
		return nil, err
	}
	r := &restoration{
		board: b, removed: expiry.NewTable[objectKey, struct{}](), kept: expiry.NewTable[objectKey, objectapi.Object](),
		ignored: expiry.NewTable[objectKey, objectapi.Object](), rewrites: expiry.NewTable[objectKey, objectapi.Object](),
		onReturn: func() {}, onUnreadable: func() {}, onEra: func(uint64) {}, onRewrite: func(rewrite) {},
	}
	r.machine = bindings.New(time.Now(), r)
	return r, nil
}

func (r *restoration) fire(event string) {
	if err := r.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

// handleReport handles the era that an answer of the store names.
func (r *restoration) handleReport(now time.Time, m EraReport) {
	problem := m.Problem
	switch {
	case m.Era > 0:
		if r.handleVerdict(r.eras.Answer(now, m.CallBegan, m.Era)) {
			r.lastProblem = ""
			return
		}
		problem = "the era is too high"
	case problem == "" && r.eras.Known() > 0:
		problem = "the header is missing"
	case problem == "":
		return // a store without eras
	}
	r.onUnreadable()
	if problem != r.lastProblem {
		r.lastProblem = problem
		r.board.log.Warn("era of the store cannot be read; the known one counts", "problem", problem, "era", r.eras.Known())
	}
}

// handleVerdict handles what a reported era means. It returns false if the era is not plausible.
func (r *restoration) handleVerdict(v era.Verdict) bool {
	switch v {
	case era.First:
		r.onEra(r.eras.Known())
		r.eraBefore = r.eras.Known()
		r.fire("era_named")
	case era.Risen, era.Fallen:
		r.fire("era_changed")
	case era.Implausible:
		return false
	}
	return true
}

// begin is the entry action of the state "restoring".
func (r *restoration) begin() {
	b := r.board
	r.changedAt = time.Now()
	r.onReturn()
	r.onEra(r.eras.Known())
	revision := uint64(0)
	for _, kind := range followedKinds {
		revision = max(revision, b.cache.ofKind(kind).position.Revision)
	}
	b.log.Warn("store has returned from an older copy; all kinds are read again and what is known stays in force until then",
		"era_before", r.eraBefore, "era", r.eras.Known(), "revision_before", revision, "source", b.source.machine.State())
	r.eraBefore = r.eras.Known()
	b.forgetRevisions()
	if b.source.machine.In("reading") {
		for _, f := range b.source.feeds {
			f.listAgain("store has returned from an older copy")
		}
	}
}

// checkRead ends the restoration when all kinds have been read in the new era.
func (r *restoration) checkRead() {
	for _, kind := range followedKinds {
		if r.board.cache.ofKind(kind).position.Era != r.eras.Known() {
			return
		}
	}
	r.fire("kinds_read")
}

// report logs the end of a restoration.
func (r *restoration) report() {
	b := r.board
	version := uint64(0)
	if b.config != nil {
		version = uint64(b.config.Version)
	}
	b.log.Info("all kinds are read again after the return of the store", "era", r.eras.Known(),
		"revision", b.cache.ofKind(objectapi.Backends).position.Revision, "took_ms", time.Since(r.changedAt).Milliseconds(),
		"kept", r.kept.Len(), "ignored", r.ignored.Len(), "written_again", r.rewrites.Len(), "lapsed_servers", b.lapsed.Len(),
		"version", version)
}

// sawReturn reports whether the store has returned from an older copy since this instance knows its era.
func (r *restoration) sawReturn() bool { return !r.changedAt.IsZero() }

// holdTime returns for how long an object of a kind is held against the copy.
func holdTime(kind objectapi.Kind) time.Duration {
	if kind == objectapi.Strikes {
		return era.StrikeHold
	}
	return era.Hold
}

// restore applies the first list of a kind in a new era. The changes are those against what was known.
func (r *restoration) restore(now time.Time, kind objectapi.Kind, changes []keyedEvent) {
	if kind == objectapi.Backends {
		r.board.storeReturnedAt = now // servers that the copy lacks register again within the grace time
	}
	for _, c := range changes {
		switch {
		case c.event.Deleted:
			r.keep(now, c.key, c.event.Object)
		case r.removed.Has(c.key) || r.ignored.Has(c.key) || kind == objectapi.Backends && r.board.isOlderEntry(c.event.Object):
			r.ignore(now, c.key, c.event.Object)
		default:
			r.board.applyObject(c.event.Object)
		}
	}
}

// keyedEvent is a change with the key of its object.
type keyedEvent struct {
	key   objectKey
	event objectapi.Event
}

func keyed(kind objectapi.Kind, changes []objectapi.Event) []keyedEvent {
	list := make([]keyedEvent, len(changes))
	for i, e := range changes {
		list[i] = keyedEvent{key: objectKey{kind: kind, name: e.Object.Name}, event: e}
	}
	return list
}

// keep keeps an object in force that the copy lacks. Backend servers have the grace time of lapsed entries, and the configuration
// in force has no limit.
func (r *restoration) keep(now time.Time, key objectKey, o objectapi.Object) {
	switch key.kind {
	case objectapi.Backends, objectapi.Configuration:
		r.board.removeObject(now, key.kind, key.name)
		return
	case objectapi.Strikes:
		r.scheduleRewrite(now, key, o, era.WriteDelay(r.board.source.position.Rank, r.rewrites.Len()))
	case objectapi.Instances:
		if key.name == r.board.source.self.Name {
			r.scheduleRewrite(now, key, o, era.RegistrationDelay())
		}
	}
	r.kept.Set(key, o, now.Add(holdTime(key.kind)))
	r.board.log.Info("object stays in force although the copy of the store lacks it", "object", string(key.kind)+"/"+key.name,
		"hold_ms", holdTime(key.kind).Milliseconds())
}

// ignore keeps an object out of force that the copy holds.
func (r *restoration) ignore(now time.Time, key objectKey, o objectapi.Object) {
	if key.kind == objectapi.Strikes {
		r.scheduleRewrite(now, key, o, era.WriteDelay(r.board.source.position.Rank, r.rewrites.Len()))
	}
	r.ignored.Set(key, o, now.Add(holdTime(key.kind)))
	r.board.log.Info("object of the copy of the store is not used, since a later state is known", "object", string(key.kind)+"/"+key.name,
		"hold_ms", holdTime(key.kind).Milliseconds())
}

func (r *restoration) scheduleRewrite(now time.Time, key objectKey, o objectapi.Object, delay time.Duration) {
	if r.rewrites.Len() < maxRewrites {
		r.rewrites.Set(key, o, now.Add(delay))
	}
}

// release ends the hold of an object, which has been written or removed in the new era.
func (r *restoration) release(key objectKey) {
	r.kept.Take(key)
	r.ignored.Take(key)
	r.rewrites.Take(key)
}

// remember remembers that an object was removed.
func (r *restoration) remember(now time.Time, key objectKey) {
	r.removed.Set(key, struct{}{}, now.Add(era.RemovalMemory))
}

// nextExpiry returns when the next hold or memory ends; zero if there is none.
func (r *restoration) nextExpiry() time.Time {
	var next time.Time
	consider := func(at time.Time, ok bool) {
		if ok && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	consider(r.removed.Next())
	consider(r.kept.Next())
	consider(r.ignored.Next())
	consider(r.rewrites.Next())
	return next
}

// expire ends the holds whose time is over, and writes what is due.
func (r *restoration) expire(now time.Time) {
	b := r.board
	r.removed.TakeExpired(now)
	for _, due := range r.rewrites.TakeExpired(now) {
		switch {
		case due.Key.kind == objectapi.Instances:
			b.onUnregistered()
		case r.kept.Has(due.Key):
			r.onRewrite(rewrite{object: due.Value})
		case r.ignored.Has(due.Key):
			r.onRewrite(rewrite{object: due.Value, remove: true})
		}
	}
	for _, held := range r.kept.TakeExpired(now) {
		b.log.Info("object that nobody has written again is no longer in force", "object", string(held.Key.kind)+"/"+held.Key.name)
		b.removeObject(now, held.Key.kind, held.Key.name)
		b.publish(true)
	}
	for _, held := range r.ignored.TakeExpired(now) {
		if o, stored := b.cache.ofKind(held.Key.kind).objects[held.Key.name]; stored && o.Position() == held.Value.Position() {
			b.log.Info("object of the copy that nobody has written again is used", "object", string(held.Key.kind)+"/"+held.Key.name)
			b.applyObject(o)
			b.publish(true)
		}
	}
}

// configDecoded notes whether the store holds an older configuration than the one in force.
func (r *restoration) configDecoded(m *decodedConfig) {
	b := r.board
	switch {
	case b.config == nil || m.config.Version >= b.config.Version:
		r.newerConfig = nil
	case m.object.Position() == b.cache.ofKind(objectapi.Configuration).objects[configObject].Position() && r.newerConfig == nil:
		inForce := b.configObject
		r.newerConfig = &inForce
		b.log.Warn("store holds an older configuration than the one in force, which stays", "version", uint64(b.config.Version),
			"store_version", uint64(m.config.Version))
	}
}

// addHolds adds what is held against the copy to the news of a kind for a peer, and returns its size in bytes.
func (r *restoration) addHolds(now time.Time, out *peerpb.KindNews, known *peerpb.KnownKind) int {
	kind := objectapi.Kind(out.GetKind())
	held := func(o objectapi.Object, until time.Time) *peerpb.HeldObject {
		h := &peerpb.HeldObject{Object: &peerpb.NewsObject{Name: o.Name, Version: o.Version, Value: o.Value}}
		if !until.IsZero() {
			h.LeftMs = uint32(max(until.Sub(now).Milliseconds(), 0))
		}
		return h
	}
	r.kept.Each(func(key objectKey, o objectapi.Object, until time.Time) {
		if key.kind == kind {
			out.Held = append(out.Held, held(o, until))
		}
	})
	r.ignored.Each(func(key objectKey, o objectapi.Object, until time.Time) {
		if key.kind == kind {
			h := held(o, until)
			h.Object.Value = nil
			out.Ignored = append(out.Ignored, h)
		}
	})
	if c := r.newerConfig; kind == objectapi.Configuration && c != nil && known.GetConfigVersion() < uint64(r.board.config.Version) {
		out.Held = append(out.Held, held(*c, time.Time{}))
	}
	size := 0
	for _, h := range slices.Concat(out.Held, out.Ignored) {
		size += len(h.GetObject().GetName()) + len(h.GetObject().GetValue())
	}
	return size
}

// adoptHolds takes over what a peer holds against the copy. It never holds longer than the peer does, and not against what has been
// written or removed since.
func (r *restoration) adoptHolds(now time.Time, k *peerpb.KindNews) {
	kind := objectapi.Kind(k.GetKind())
	cached := r.board.cache.ofKind(kind)
	changed := false
	until := func(h *peerpb.HeldObject) time.Time {
		return now.Add(min(time.Duration(h.GetLeftMs())*time.Millisecond, holdTime(kind)))
	}
	for _, h := range k.GetHeld() {
		o := objectapi.Object{Kind: kind, Name: h.GetObject().GetName(), Version: h.GetObject().GetVersion(), Value: h.GetObject().GetValue()}
		key := objectKey{kind: kind, name: o.Name}
		if kind == objectapi.Configuration {
			r.adoptConfig(o)
			continue
		}
		_, stored := cached.objects[o.Name]
		if stored || r.kept.Has(key) || r.removed.Has(key) || !until(h).After(now) {
			continue
		}
		r.kept.Set(key, o, until(h))
		r.board.applyObject(o)
		changed = true
	}
	for _, h := range k.GetIgnored() {
		key := objectKey{kind: kind, name: h.GetObject().GetName()}
		o, stored := cached.objects[key.name]
		if !stored || o.Version != h.GetObject().GetVersion() || r.ignored.Has(key) || !until(h).After(now) {
			continue
		}
		r.board.withdrawObject(now, o)
		r.ignored.Set(key, o, until(h))
		changed = true
	}
	if changed {
		r.board.publish(true)
	}
}

// adoptConfig decodes a configuration that a peer has in force while the store holds an older one.
func (r *restoration) adoptConfig(o objectapi.Object) {
	if o.Name != configObject || o.Position() == r.adoptedConfig {
		return
	}
	r.adoptedConfig = o.Position()
	r.board.decoder.setAdopted(o)
}

// reportEra passes the era in an answer of the store on to the board.
func (b *board) reportEra(ctx context.Context, report EraReport) {
	_ = b.inbox.Send(ctx, report) // fails only when the call ends; the next answer names the era again
}
