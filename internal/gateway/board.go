package gateway

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/dispatch"
	"fuchsiahub.example/fuchsiahub/internal/decide/expiry"
	"fuchsiahub.example/fuchsiahub/internal/decide/news"
	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/suspension"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// boardInboxCapacity is the inbox capacity of the board; feeds block when it is full.
	boardInboxCapacity = 64
	// lapseGrace is how long the entries of backend servers that lapsed while the store was unavailable may take to be
	// registered again.
	lapseGrace = 2 * time.Second
	// outdatedGrace is how long an entry that seems to be outdated may stay in the store until it is used. It is longer than
	// three heartbeats, within which the process that wrote the newer one writes again.
	outdatedGrace = 5 * time.Second
	// maxStrikeAge is the age, by wall-clock time, up to which a crash counts. It matches charts/quarantine.toml.
	maxStrikeAge = 10 * time.Minute
	// maxStrikeAhead is how far in the future the time of a crash may be, far above the difference of two clocks.
	maxStrikeAhead = 24 * time.Hour
	// configObject is the name of the object that holds the newest configuration.
	configObject = "main"
)

// board is the task that merges the updates of feeds and peers and publishes snapshots of the store.
type board struct {
	inbox     *task.Mailbox[any]
	schema    Schema
	snapshots *SnapshotPublisher
	log       *slog.Logger
	// subscribers are the functions that are called with each new snapshot.
	subscribers []func(*Snapshot)
	source      *newsSource
	decoder     *configDecoder
	staleness   *staleness
	// onStrike is called for each strike (a crash of a backend server attributed to a request) that was found in the store,
	// or that is withdrawn because it was removed there. onTrial is called for each claim of a trial.
	onStrike func(s quarantine.Strike, withdrawn bool)
	onTrial  func(quarantine.Trial)
	// onDataAge is called regularly with the age of the objects of a kind.
	onDataAge func(objectapi.Kind, time.Duration)
	// onStale is called when the configuration or the evacuations become older than they may be.
	onStale func()
	// onInvalid is called for each revision of an object that is not valid.
	onInvalid func()
	// onUnregistered is called when the entry of this instance is missing from the store or differs.
	onUnregistered func()

	cache objectCache
	// readBy is the instance that read the latest update of a kind from the store.
	readBy map[objectapi.Kind]string
	config *fleet.Config
	// configObject is the object of the configuration in force.
	configObject   objectapi.Object
	routes         *dispatch.Table
	backends       map[string]*fleet.Backend
	evacuatedZones map[string]bool
	instances      map[string]fleet.Instance
	// strikes holds the strikes recorded in the store, by object name, and trials the times of the trials.
	strikes map[string]quarantine.Strike
	trials  map[string]time.Time
	// asOf is the time at which the known objects of a kind were surely current in the store.
	asOf map[objectapi.Kind]time.Time
	// decoding is the position of the newest configuration that has been passed to the decoder; zero when its result has arrived.
	decoding objectapi.Position
	// configAsOf is the time at which the configuration in force was surely the newest one in the store.
	configAsOf time.Time
	// lapsed holds the servers whose entries were removed during or just after an outage of the store, until they count as
	// gone.
	lapsed *expiry.Table[string, struct{}]
	// outdated holds entries that are older by the server's own account than the known ones, until they are used all the same.
	outdated *expiry.Table[string, *fleet.Backend]
	// storeReturnedAt is when the store last came back after an outage.
	storeReturnedAt time.Time
	// totalSuspension returns how long the machine has been suspended in total.
	totalSuspension func() time.Duration
	// countedSuspension is the total that has been taken into account.
	countedSuspension time.Duration
	// historyLostAt is when the store was last found to have dropped its history.
	historyLostAt time.Time
	// revisions holds up to which revision of the store each kind is known.
	revisions *news.Revisions
	// missedChanges holds the kinds whose changes are suspected to have been missed.
	missedChanges map[objectapi.Kind]missedChange
	// unansweredKinds holds the kinds whose feeds got no answer to their last call.
	unansweredKinds map[objectapi.Kind]bool
	// invalidRevisions holds the highest revision of an invalid object, by kind and name, so that each is logged once.
	invalidRevisions map[objectKey]uint64
	// restoration holds what is known against the copy from which the store has returned.
	restoration *restoration
}

// objectKey identifies an object of the store.
type objectKey struct {
	kind objectapi.Kind
	name string
}

func newBoard(schema Schema, snapshots *SnapshotPublisher, log *slog.Logger) (*board, error) {
	inbox := task.NewMailbox[any]("board", boardInboxCapacity)
	b := &board{
		inbox: inbox, decoder: newConfigDecoder(schema, inbox), schema: schema, snapshots: snapshots, log: log,
		backends: map[string]*fleet.Backend{}, evacuatedZones: map[string]bool{}, instances: map[string]fleet.Instance{},
		revisions: news.NewRevisions(), missedChanges: map[objectapi.Kind]missedChange{},
		strikes: map[string]quarantine.Strike{}, trials: map[string]time.Time{},
		cache: objectCache{}, readBy: map[objectapi.Kind]string{}, asOf: map[objectapi.Kind]time.Time{},
		lapsed: expiry.NewTable[string, struct{}](), outdated: expiry.NewTable[string, *fleet.Backend](),
		unansweredKinds: map[objectapi.Kind]bool{}, invalidRevisions: map[objectKey]uint64{},
		totalSuspension: suspension.Total, countedSuspension: suspension.Total(),
		onInvalid: func() {}, onStale: func() {},
	}
	var err error
	b.restoration, err = newRestoration(b)
	return b, err
}

// run is the body of the task.
func (b *board) run(ctx context.Context) error {
	alarm := task.NewAlarm("board", b.log)
	defer alarm.Stop()
	for {
		b.applySuspension()
		now := time.Now()
		b.reportAges(now)
		b.listMissedChanges(now)
		b.source.checkSource(ctx, now)
		alarm.SetFirst(now.Add(ageCheckInterval), b.nextExpiry(), b.restoration.nextExpiry())
		select {
		case m := <-b.inbox.C():
			b.applySuspension()
			b.handle(time.Now(), m)
		case <-alarm.C():
		case <-ctx.Done():
			return nil
		}
		b.dropLapsed(time.Now())
		b.useOutdated(time.Now())
		b.restoration.expire(time.Now())
	}
}

// reportAges reports the ages of the known objects.
func (b *board) reportAges(now time.Time) {
	b.onDataAge(objectapi.Backends, b.source.dataAge(now))
	for _, kind := range rareKinds {
		b.onDataAge(kind, b.ageOf(kind, now))
	}
	b.staleness.check(now)
}

// ageOf returns the age of the known objects of a kind, counted from the start of the instance while none are known. The
// configuration in force may be older; see configAge.
func (b *board) ageOf(kind objectapi.Kind, now time.Time) time.Duration {
	if asOf := b.asOf[kind]; !asOf.IsZero() {
		return now.Sub(asOf)
	}
	return now.Sub(b.source.started)
}

// configAge returns the age of the configuration in force.
func (b *board) configAge(now time.Time) time.Duration {
	if b.configAsOf.IsZero() {
		return now.Sub(b.source.started)
	}
	return now.Sub(b.configAsOf)
}

// minSuspension is the minimum time that counts as a suspension. Shorter differences are within the inaccuracy of the
// clocks.
const minSuspension = 10 * time.Millisecond

// applySuspension ages the known objects by the time for which the machine was suspended, which the monotonic clock does not
// count. Otherwise peers that ask would take them for current.
func (b *board) applySuspension() {
	total := b.totalSuspension()
	missed := total - b.countedSuspension
	if missed < minSuspension {
		return
	}
	b.countedSuspension = total
	for kind, at := range b.asOf {
		b.asOf[kind] = at.Add(-missed)
	}
	b.configAsOf = b.configAsOf.Add(-missed)
	b.publish(false) // requests judge the configuration by its age
	b.log.Warn("machine was suspended", "for_ms", missed.Milliseconds())
}

// adjustForSuspension ages an update by the time for which the machine was suspended between the call and its answer.
func (b *board) adjustForSuspension(u *kindUpdate) {
	u.asOf = u.asOf.Add(-max(b.countedSuspension-u.suspendedAtCall, 0))
}

// nextExpiry returns when the next lapsed entry counts as gone or the next outdated one is used; zero if there is none.
func (b *board) nextExpiry() time.Time {
	at, lapses := b.lapsed.Next()
	if useAt, ok := b.outdated.Next(); ok && (!lapses || useAt.Before(at)) {
		return useAt
	}
	return at
}

func (b *board) handle(now time.Time, m any) {
	switch m := m.(type) {
	case storeLostEvent:
		b.unansweredKinds[m.kind] = true
	case storeReturnEvent:
		b.handleStoreReturn(m.kind)
	case historyLostEvent:
		b.handleLostHistory(now, m.kind)
	case kindUpdate:
		delete(b.unansweredKinds, m.kind)
		b.adjustForSuspension(&m)
		if b.applyUpdate(now, m) {
			b.recordRevisions(now, &m)
		}
		known := b.cache.ofKind(m.kind).position
		m.reply <- updateReply{known: known, mustList: known.Era < b.restoration.eras.Known()}
		if m.kind == objectapi.Backends {
			b.retryUnanswered()
		}
	case EraReport:
		b.restoration.handleReport(now, m)
	case decodedConfig:
		b.applyDecodedConfig(m)
	case newsRequest:
		b.source.handleRequest(now, m)
	case newsResult:
		b.source.handleResult(now, m)
	case entriesRequest:
		m.reply <- b.fleetEntries(now)
	case boundsUpdate:
		b.source.limits = news.NewAgeLimits(m.bounds.Drain, m.bounds.ConfigApply)
		b.staleness.setBound(m.bounds.ConfigApply)
	}
}

// handleStoreReturn handles the first answer of the store to a feed after failures.
func (b *board) handleStoreReturn(kind objectapi.Kind) {
	delete(b.unansweredKinds, kind)
	if kind != objectapi.Backends {
		return
	}
	// A call of another feed that began during the outage may hang.
	for other, f := range b.source.feeds {
		if other != kind {
			f.interruptCall("store answers again")
		}
	}
}

// lostHistoryInterval is the time within which lost histories of several kinds count as one event.
const lostHistoryInterval = 500 * time.Millisecond

// handleLostHistory makes the other feeds list their objects again. A store that has dropped the history of one kind has
// dropped that of the others, and a call that waits for their changes may not hear of those made meanwhile.
func (b *board) handleLostHistory(now time.Time, kind objectapi.Kind) {
	if now.Sub(b.historyLostAt) < lostHistoryInterval || b.restoration.machine.In("restoring") {
		return
	}
	b.historyLostAt = now
	for other, f := range b.source.feeds {
		if other != kind && b.source.machine.In("reading") {
			f.listAgain("store dropped its history")
		}
	}
}

// retryUnanswered makes the feeds whose last call got no answer retry at once, since the store has just answered another
// feed.
func (b *board) retryUnanswered() {
	for kind := range b.unansweredKinds {
		b.source.feeds[kind].interruptCall("store answers another feed")
	}
}

// storeUnavailable reports whether the store is not answering this instance.
func (b *board) storeUnavailable() bool { return b.unansweredKinds[objectapi.Backends] }

// applyUpdate applies an update of one kind. It returns false if a newer state is known.
func (b *board) applyUpdate(now time.Time, u kindUpdate) bool {
	if !b.acceptEra(now, &u) {
		return false
	}
	b.dropUnnamed(&u)
	cached := b.cache.ofKind(u.kind)
	if isDisproved(cached, u.disproved) {
		cached.position = objectapi.Position{} // any list is newer than a state that never was in the store
		b.revisions.Forget(string(u.kind))
	}
	former := cached.position
	changes, ok := cached.apply(&u)
	if !ok {
		return false
	}
	if b.asOf[u.kind].Before(u.asOf) {
		b.detectStoreReturn(now, &u)
		b.asOf[u.kind], b.readBy[u.kind] = u.asOf, u.reader
	}
	if former.Era > 0 && former.Era != u.position.Era {
		b.restoration.restore(now, u.kind, keyed(u.kind, changes))
	} else {
		b.applyChanges(now, keyed(u.kind, changes))
	}
	b.restoration.checkRead()
	if b.decoding == (objectapi.Position{}) {
		b.configAsOf = b.asOf[objectapi.Configuration]
	}
	if u.kind == objectapi.Instances {
		b.checkRegistration()
		b.source.updatePosition()
	}
	b.publish(len(changes) > 0)
	return true
}

// acceptEra decides whether an update is of the era of the store, which it may be the first to name. An update without an era counts
// as one of the known era.
func (b *board) acceptEra(now time.Time, u *kindUpdate) bool {
	eras := &b.restoration.eras
	if u.position.Era > eras.Known() && !b.restoration.handleVerdict(eras.Hint(now, u.position.Era)) {
		return false
	}
	if u.position.Era == 0 {
		u.setEra(eras.Known())
	}
	if u.position.Era < eras.Known() {
		b.log.Info("update of an earlier era of the store is dropped", "kind", string(u.kind), "era", u.position.Era,
			"known_era", eras.Known(), "reader", u.reader)
		return false
	}
	return true
}

// setEra sets the era of an update that names none.
func (u *kindUpdate) setEra(era uint64) {
	u.position, u.base = u.position.In(era), u.base.In(era)
	for i := range u.events {
		u.events[i].Object.Era = era
	}
}

// isDisproved reports whether the cached objects are those of a position that the store had not reached.
func isDisproved(c *kindCache, disproved objectapi.Position) bool {
	return disproved.Revision > 0 && disproved.Era == c.position.Era && c.unchangedSince <= disproved.Revision &&
		disproved.Revision <= c.position.Revision
}

// applyChanges applies changes within one era.
func (b *board) applyChanges(now time.Time, changes []keyedEvent) {
	for _, c := range changes {
		b.revisions.Explain(c.event.Object.Version)
		b.restoration.release(c.key)
		if c.event.Deleted {
			b.removeObject(now, c.key.kind, c.key.name)
			continue
		}
		b.applyObject(c.event.Object)
	}
}

// forgetRevisions forgets what is known about the revisions of an era that is over.
func (b *board) forgetRevisions() {
	b.revisions = news.NewRevisions()
	clear(b.missedChanges)
	clear(b.invalidRevisions)
}

// errUnnamed is the error for an object whose name cannot be read.
var errUnnamed = fault.New(fault.Invalid, "find the writer of the object and correct it", "object has no readable name")

// dropUnnamed removes the objects whose name cannot be read from an update.
func (b *board) dropUnnamed(u *kindUpdate) {
	u.events = slices.DeleteFunc(u.events, func(e objectapi.Event) bool {
		if e.Object.Name == "" {
			b.reportInvalid(objectapi.Object{Kind: u.kind, Version: e.Object.Version}, errUnnamed)
		}
		return e.Object.Name == ""
	})
}

// outageThreshold is the age of the last update above which the store counts as having been unavailable.
const outageThreshold = 2500 * time.Millisecond

// detectStoreReturn treats an update after a long gap as the end of an outage of the store. If the store did not answer this
// instance while peers passed on its updates, there was no outage, and entries removed meanwhile did not lapse.
func (b *board) detectStoreReturn(now time.Time, u *kindUpdate) {
	last := b.asOf[u.kind]
	if u.kind == objectapi.Backends && !last.IsZero() && u.asOf.Sub(last) > outageThreshold {
		b.storeReturnedAt = now
	}
}

// checkRegistration requests a write of this instance's entry when it is missing from the store or differs.
func (b *board) checkRegistration() {
	self := b.source.self
	known, ok := b.instances[self.Name]
	if !ok || known.Address != self.Address || known.Place != self.Place || known.CPUShare != self.CPUShare {
		b.onUnregistered()
	}
}

// applyObject applies a created or changed object.
func (b *board) applyObject(o objectapi.Object) {
	b.restoration.removed.Take(objectKey{kind: o.Kind, name: o.Name})
	switch o.Kind {
	case objectapi.Configuration:
		b.applyConfig(o)
	case objectapi.Backends:
		b.applyBackend(o)
	case objectapi.Evacuations:
		b.evacuatedZones[o.Name] = true
		b.log.Info("availability zone is taken out", "zone", o.Name, "revision", o.Version)
	case objectapi.Instances:
		b.applyInstance(o)
	case objectapi.Strikes:
		b.applyStrike(o)
	}
}

// isExpired reports whether a crash no longer counts. One that is far ahead was recorded with a wrong time.
func isExpired(now, crash time.Time) bool {
	age := now.Sub(crash)
	return age > maxStrikeAge || age < -maxStrikeAhead
}

// applyStrike applies a strike or the claim of a trial. Expired ones are left to the janitor.
func (b *board) applyStrike(o objectapi.Object) {
	if t, isTrial := b.schema.Trial(o); isTrial {
		b.trials[o.Name] = t.At
		if !isExpired(time.Now(), t.At) {
			b.onTrial(t)
		}
		return
	}
	s, err := b.schema.Strike(o)
	if err != nil {
		b.reportInvalid(o, err)
		return
	}
	b.strikes[o.Name] = s
	if !isExpired(time.Now(), s.Crash.At) {
		b.onStrike(s, false)
	}
}

// applyInstance keeps the entry of an instance. An entry that cannot be decoded removes the instance.
func (b *board) applyInstance(o objectapi.Object) {
	instance, err := b.schema.Instance(o)
	if err != nil {
		b.reportInvalid(o, err)
		delete(b.instances, o.Name)
		return
	}
	b.instances[o.Name] = instance
}

// applyConfig passes a configuration to the decoder.
func (b *board) applyConfig(o objectapi.Object) {
	if o.Name != configObject {
		return
	}
	b.decoding = o.Position()
	b.decoder.setNext(o)
}

// applyDecodedConfig puts a configuration in force unless a newer one already is.
func (b *board) applyDecodedConfig(m decodedConfig) {
	if !m.adopted && b.decoding == m.object.Position() {
		b.decoding, b.configAsOf = objectapi.Position{}, b.asOf[objectapi.Configuration]
	}
	if m.err != nil {
		b.reportInvalid(m.object, m.err)
		b.publish(false)
		return
	}
	if !m.adopted {
		b.restoration.configDecoded(&m)
	}
	if b.config != nil && m.config.Version <= b.config.Version {
		b.publish(false)
		return
	}
	if m.adopted {
		b.restoration.newerConfig = &m.object
	}
	b.config, b.routes, b.configObject = m.config, m.table, m.object
	b.log.Info("configuration is in force", "version", uint64(m.config.Version), "revision", m.object.Version,
		"routes", len(m.config.Routes), "bytes", len(m.object.Value), "decode_ms", m.decodeTime.Milliseconds(),
		"table_ms", m.tableTime.Milliseconds(), "age_ms", time.Since(b.asOf[objectapi.Configuration]).Milliseconds())
	b.publish(true)
}

// isOlderEntry reports whether an entry of a server is older, by the server's own account, than the known one.
func (b *board) isOlderEntry(o objectapi.Object) bool {
	entry, err := b.schema.Backend(o)
	return err == nil && isOlder(entry, b.backends[o.Name])
}

// isOlder reports whether an entry is older than a known one, which may be nil.
func isOlder(entry, known *fleet.Backend) bool {
	return known != nil && (entry.StartedAtMs < known.StartedAtMs ||
		entry.StartedAtMs == known.StartedAtMs && entry.Sequence < known.Sequence)
}

// applyBackend keeps the newest entry of a server. An entry that cannot be decoded removes the server.
func (b *board) applyBackend(o objectapi.Object) {
	entry, err := b.schema.Backend(o)
	if err != nil {
		b.reportInvalid(o, err)
		b.deleteBackend(o.Name, "entry is not valid")
		return
	}
	old := b.backends[o.Name]
	if isOlder(entry, old) {
		b.outdated.Set(o.Name, entry, time.Now().Add(outdatedGrace))
		b.log.Info("outdated entry of a backend server is ignored for now", "backend", o.Name, "born", entry.StartedAtMs,
			"sequence", entry.Sequence)
		return
	}
	if old == nil || old.StartedAtMs != entry.StartedAtMs || old.Draining != entry.Draining {
		b.log.Info("backend server is registered", "backend", o.Name, "service", entry.Service, "zone", entry.Place.Zone,
			"draining", entry.Draining, "cold_ms", entry.ColdFor.Milliseconds(), "revision", o.Version)
	}
	b.useBackend(entry)
}

// useBackend puts an entry of a server in force.
func (b *board) useBackend(entry *fleet.Backend) {
	b.lapsed.Take(entry.ID)
	b.outdated.Take(entry.ID)
	b.backends[entry.ID] = entry
}

// deleteBackend forgets a server.
func (b *board) deleteBackend(name, cause string) {
	b.lapsed.Take(name)
	b.outdated.Take(name)
	if entry := b.backends[name]; entry != nil {
		delete(b.backends, name)
		b.log.Info("backend server is removed", "backend", name, "service", entry.Service, "cause", cause)
	}
}

// useOutdated puts entries in force that seemed to be outdated and that nothing has replaced: the clock of the server was set
// back between two starts, or its count began anew.
func (b *board) useOutdated(now time.Time) {
	for _, o := range b.outdated.TakeExpired(now) {
		b.useBackend(o.Value)
		b.log.Warn("entry of a backend server seemed to be outdated and stays; it is used", "backend", o.Key,
			"born", o.Value.StartedAtMs, "sequence", o.Value.Sequence, "draining", o.Value.Draining)
		b.publish(true)
	}
}

// removeObject applies the deletion of an object.
func (b *board) removeObject(now time.Time, kind objectapi.Kind, name string) {
	key := objectKey{kind: kind, name: name}
	delete(b.invalidRevisions, key)
	b.restoration.remember(now, key)
	switch kind {
	case objectapi.Backends:
		b.removeBackend(now, name)
	case objectapi.Evacuations:
		delete(b.evacuatedZones, name)
		b.log.Info("availability zone is back", "zone", name)
	case objectapi.Instances:
		delete(b.instances, name)
	case objectapi.Strikes:
		if s, known := b.strikes[name]; known {
			b.onStrike(s, true)
		}
		delete(b.strikes, name)
		delete(b.trials, name)
	}
}

// withdrawObject takes an object out of force that is in the store.
func (b *board) withdrawObject(now time.Time, o objectapi.Object) {
	if o.Kind == objectapi.Backends {
		b.restoration.remember(now, objectKey{kind: o.Kind, name: o.Name})
		b.deleteBackend(o.Name, "a peer knows a later state than the copy of the store")
		return
	}
	b.removeObject(now, o.Kind, o.Name)
}

// removeBackend applies the removal of the entry of a server. A server whose entry may only have lapsed during an outage of
// the store is kept until the grace time is over.
func (b *board) removeBackend(now time.Time, name string) {
	b.outdated.Take(name)
	entry := b.backends[name]
	if entry == nil {
		return
	}
	graceEnd := b.lapseGraceEnd()
	if entry.Draining || !now.Before(graceEnd) {
		b.deleteBackend(name, "entry is removed")
		return
	}
	if !b.lapsed.Has(name) {
		b.lapsed.Set(name, struct{}{}, graceEnd)
		b.log.Info("entry lapsed while the store was unavailable; the backend server is kept for a grace time", "backend", name)
	}
}

// lapseGraceEnd returns until when servers may take to register again after the last outage; zero if there was none.
func (b *board) lapseGraceEnd() time.Time {
	if b.storeReturnedAt.IsZero() {
		return time.Time{}
	}
	return b.storeReturnedAt.Add(lapseGrace)
}

// dropLapsed ends the grace time of servers. One whose store was unavailable again meanwhile has another grace time. One that
// has written an entry since, which seemed to be outdated, is used with that.
func (b *board) dropLapsed(now time.Time) {
	for _, lapsed := range b.lapsed.TakeExpired(now) {
		name := lapsed.Key
		if graceEnd := b.lapseGraceEnd(); now.Before(graceEnd) {
			b.lapsed.Set(name, struct{}{}, graceEnd)
			continue
		}
		if entry, ok := b.outdated.Take(name); ok {
			b.useBackend(entry)
			b.log.Info("backend server is used with an entry that seemed to be outdated, since the newer one lapsed", "backend", name,
				"born", entry.StartedAtMs, "sequence", entry.Sequence, "draining", entry.Draining)
		} else {
			b.deleteBackend(name, "grace time is over")
		}
		b.publish(true)
	}
}

// reportInvalid logs and counts an invalid object, once for each revision.
func (b *board) reportInvalid(o objectapi.Object, err error) {
	key := objectKey{kind: o.Kind, name: o.Name}
	if revision, known := b.invalidRevisions[key]; known && o.Version <= revision {
		return
	}
	b.invalidRevisions[key] = o.Version
	b.onInvalid()
	b.log.Warn("object is not valid and has no effect", "object", string(o.Kind)+"/"+o.Name, "revision", o.Version, "error", err)
}

// publish publishes a new snapshot. When only the age of the data has changed, subscribers are not called.
func (b *board) publish(changed bool) {
	if old := b.snapshots.newest.Load(); old != nil && !changed {
		view := *old.View
		view.ConfigAsOf, view.BackendsAsOf, view.EvacuatedAsOf = b.configAsOf, b.asOf[objectapi.Backends],
			b.asOf[objectapi.Evacuations]
		view.MaxConfigAge = b.staleness.bound
		b.snapshots.newest.Store(&Snapshot{View: &view, Routes: b.routes})
		return
	}
	view := &fleet.View{
		Config: b.config, Backends: map[string][]*fleet.Backend{}, EvacuatedZones: maps.Clone(b.evacuatedZones),
		ConfigAsOf: b.configAsOf, BackendsAsOf: b.asOf[objectapi.Backends],
		EvacuatedAsOf: b.asOf[objectapi.Evacuations], MaxConfigAge: b.staleness.bound,
	}
	for _, entry := range b.backends {
		view.Backends[entry.Service] = append(view.Backends[entry.Service], entry)
	}
	for _, list := range view.Backends {
		slices.SortFunc(list, func(x, y *fleet.Backend) int { return strings.Compare(x.ID, y.ID) })
	}
	for _, i := range b.instances {
		view.Instances = append(view.Instances, i)
	}
	slices.SortFunc(view.Instances, func(x, y fleet.Instance) int { return strings.Compare(x.Name, y.Name) })
	snapshot := &Snapshot{View: view, Routes: b.routes}
	b.snapshots.newest.Store(snapshot)
	for _, notify := range b.subscribers {
		notify(snapshot)
	}
}
