package gateway

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/dispatch"
	"fuchsiahub.example/fuchsiahub/internal/decide/news"
	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/suspension"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// boardCapacity is the inbox capacity of the board; feeds block when it is full.
	boardCapacity = 64
	// returnTime is how long the entries of backend servers that lapsed while the store was unavailable may take to be
	// registered again.
	returnTime = 2 * time.Second
	// strikeKept is the age, by wall-clock time, up to which a crash counts. It matches charts/quarantine.toml.
	strikeKept = 10 * time.Minute
	// configObject is the name of the object that holds the newest configuration.
	configObject = "main"
)

// board is the task that merges the updates of feeds and peers and publishes snapshots of the store.
type board struct {
	inbox   *task.Mailbox[any]
	schema  Schema
	beliefs *Beliefs
	log     *slog.Logger
	// published are the functions that are called with each new snapshot.
	published []func(*Belief)
	reader    *reader
	// struck is called for each strike (a crash of a backend server attributed to a request) found in the store.
	struck func(quarantine.Strike)
	// aged is called regularly with the age of the entries of backend servers.
	aged func(time.Duration)
	// unregistered is called when the entry of this instance is missing from the store or differs.
	unregistered func()

	archive archive
	// readBy is the instance that read the latest update of a kind from the store.
	readBy    map[objectapi.Kind]string
	config    *fleet.Config
	routes    *dispatch.Table
	backends  map[string]*fleet.Backend
	evacuated map[string]bool
	instances map[string]fleet.Instance
	// strikes holds the times of the crashes recorded in the store, by object name.
	strikes map[string]time.Time
	// asOf is the time at which the known objects of a kind were surely current in the store.
	asOf map[objectapi.Kind]time.Time
	// lapsed holds the entries that were removed during or just after an outage of the store, with the time from which
	// they count as gone.
	lapsed map[string]time.Time
	// regainedAt is when the store last came back after an outage.
	regainedAt time.Time
	// suspended returns how long the machine has been suspended in total.
	suspended func() time.Duration
	// knownSuspended is the total that has been taken into account.
	knownSuspended time.Duration
	// unanswered holds the kinds whose feeds got no answer to their last call.
	unanswered map[objectapi.Kind]bool
	// refused holds the revision of the last invalid object, by kind and name, so that each is logged once.
	refused map[string]uint64
}

func newBoard(schema Schema, beliefs *Beliefs, log *slog.Logger) *board {
	return &board{
		inbox: task.NewMailbox[any]("board", boardCapacity), schema: schema, beliefs: beliefs, log: log,
		backends: map[string]*fleet.Backend{}, evacuated: map[string]bool{}, instances: map[string]fleet.Instance{}, strikes: map[string]time.Time{},
		archive: archive{}, readBy: map[objectapi.Kind]string{}, asOf: map[objectapi.Kind]time.Time{}, lapsed: map[string]time.Time{},
		unanswered: map[objectapi.Kind]bool{}, refused: map[string]uint64{}, suspended: suspension.Total, knownSuspended: suspension.Total(),
	}
}

// run is the body of the task.
func (b *board) run(ctx context.Context) error {
	for {
		b.noteSuspension()
		now := time.Now()
		b.aged(b.reader.age(now))
		b.reader.look(ctx, now)
		timer := time.NewTimer(min(b.untilLapse(), tick))
		select {
		case m := <-b.inbox.C():
			b.noteSuspension()
			b.handle(time.Now(), m)
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		timer.Stop()
		b.dropLapsed(time.Now())
	}
}

// leastSuspension is the minimum time that counts as a suspension. Shorter differences are within the inaccuracy of the
// clocks.
const leastSuspension = 10 * time.Millisecond

// noteSuspension ages the known objects by the time for which the machine was suspended, which the monotonic clock does not
// count. Otherwise peers that ask would take them for current.
func (b *board) noteSuspension() {
	total := b.suspended()
	missed := total - b.knownSuspended
	if missed < leastSuspension {
		return
	}
	b.knownSuspended = total
	for kind, at := range b.asOf {
		b.asOf[kind] = at.Add(-missed)
	}
	b.log.Warn("machine was suspended", "for_ms", missed.Milliseconds())
}

// countSuspension ages an update by the time for which the machine was suspended between the call and its answer.
func (b *board) countSuspension(l *learned) {
	l.asOf = l.asOf.Add(-max(b.knownSuspended-l.suspended, 0))
}

// idleWait is the timer duration of a task that has nothing scheduled.
const idleWait = time.Hour

// untilLapse returns the time until the next lapsed entry counts as gone.
func (b *board) untilLapse() time.Duration {
	wait := idleWait
	for _, at := range b.lapsed {
		wait = min(wait, time.Until(at))
	}
	return max(wait, 0)
}

func (b *board) handle(now time.Time, m any) {
	switch m := m.(type) {
	case storeLost:
		b.unanswered[m.kind] = true
	case storeRegained:
		b.regained(m.kind)
	case learned:
		delete(b.unanswered, m.kind)
		b.countSuspension(&m)
		b.learn(now, m)
		m.reply <- b.archive.shelf(m.kind).revision
		if m.kind == objectapi.Backends {
			b.recheck()
		}
	case newsWanted:
		b.reader.wanted(now, m)
	case newsGiven:
		b.reader.given(now, m)
	case entriesWanted:
		m.reply <- b.fleetEntries(now)
	case rebound:
		b.reader.pace = news.NewPace(m.bounds.Drain)
	}
}

// regained handles the first answer of the store to a feed after failures.
func (b *board) regained(kind objectapi.Kind) {
	delete(b.unanswered, kind)
	if kind != objectapi.Backends {
		return
	}
	// A call of another feed that began during the outage may hang.
	for other, f := range b.reader.feeds {
		if other != kind {
			f.askAgain()
		}
	}
}

// recheck makes the feeds whose last call got no answer retry at once, since the store has just answered another feed.
func (b *board) recheck() {
	for kind := range b.unanswered {
		b.reader.feeds[kind].askAgain()
	}
}

// lost reports whether the store is not answering this instance.
func (b *board) lost() bool { return b.unanswered[objectapi.Backends] }

// learn applies an update of one kind unless a newer state is known.
func (b *board) learn(now time.Time, l learned) {
	shelf := b.archive.shelf(l.kind)
	changes, ok := shelf.take(&l)
	if !ok {
		return
	}
	if b.asOf[l.kind].Before(l.asOf) {
		b.noteReturn(now, &l)
		b.asOf[l.kind], b.readBy[l.kind] = l.asOf, l.reader
	}
	for _, e := range changes {
		if e.Deleted {
			b.remove(now, l.kind, e.Object.Name)
			continue
		}
		b.take(e.Object)
	}
	if l.kind == objectapi.Instances {
		b.checkRegistration()
		b.reader.reorder()
	}
	b.publish(len(changes) > 0)
}

// silence is the age of the last update above which the store counts as having been unavailable.
const silence = 2500 * time.Millisecond

// noteReturn treats an update after a long gap as the end of an outage of the store. If the store did not answer this
// instance while peers passed on its updates, there was no outage, and entries removed meanwhile did not lapse.
func (b *board) noteReturn(now time.Time, l *learned) {
	last := b.asOf[l.kind]
	if l.kind == objectapi.Backends && !last.IsZero() && l.asOf.Sub(last) > silence {
		b.regainedAt = now
	}
}

// checkRegistration requests a write of this instance's entry when it is missing from the store or differs.
func (b *board) checkRegistration() {
	self := b.reader.self
	known, ok := b.instances[self.Name]
	if !ok || known.Address != self.Address || known.Place != self.Place || known.Share != self.Share {
		b.unregistered()
	}
}

// take applies a created or changed object.
func (b *board) take(o objectapi.Object) {
	switch o.Kind {
	case objectapi.Configuration:
		b.takeConfig(o)
	case objectapi.Backends:
		b.takeBackend(o)
	case objectapi.Evacuations:
		b.evacuated[o.Name] = true
		b.log.Info("availability zone is taken out", "zone", o.Name, "revision", o.Version)
	case objectapi.Instances:
		b.takeInstance(o)
	case objectapi.Strikes:
		b.takeStrike(o)
	}
}

func (b *board) takeStrike(o objectapi.Object) {
	s, err := b.schema.Strike(o)
	if err != nil {
		b.refuse(o, err)
		return
	}
	b.strikes[o.Name] = s.Crash.At
	if age := time.Since(s.Crash.At); age > strikeKept {
		return // too old; the janitor will remove it
	}
	b.struck(s)
}

func (b *board) takeInstance(o objectapi.Object) {
	instance, err := b.schema.Instance(o)
	if err != nil {
		b.refuse(o, err)
		return
	}
	b.instances[o.Name] = instance
}

// takeConfig puts a configuration in force unless a newer one already is.
func (b *board) takeConfig(o objectapi.Object) {
	if o.Name != configObject {
		return
	}
	config, err := b.schema.Config(o)
	if err != nil {
		b.refuse(o, err)
		return
	}
	if b.config != nil && config.Version <= b.config.Version {
		return
	}
	b.config, b.routes = config, dispatch.NewTable(config)
	b.log.Info("configuration is in force", "version", uint64(config.Version), "revision", o.Version, "routes", len(config.Routes))
}

// takeBackend keeps the newest entry of a server. An entry that cannot be decoded removes the server.
func (b *board) takeBackend(o objectapi.Object) {
	entry, err := b.schema.Backend(o)
	if err != nil {
		b.refuse(o, err)
		delete(b.backends, o.Name)
		return
	}
	old := b.backends[o.Name]
	if old != nil && (entry.Born < old.Born || entry.Born == old.Born && entry.Sequence < old.Sequence) {
		b.log.Info("outdated entry of a backend server is ignored", "backend", o.Name, "born", entry.Born, "sequence", entry.Sequence)
		return
	}
	if old == nil || old.Born != entry.Born || old.Draining != entry.Draining {
		b.log.Info("backend server is registered", "backend", o.Name, "service", entry.Service, "zone", entry.Place.Zone,
			"draining", entry.Draining, "cold_ms", entry.ColdFor.Milliseconds(), "revision", o.Version)
	}
	delete(b.lapsed, o.Name)
	b.backends[o.Name] = entry
}

// remove applies the deletion of an object.
func (b *board) remove(now time.Time, kind objectapi.Kind, name string) {
	switch kind {
	case objectapi.Backends:
		b.removeBackend(now, name)
	case objectapi.Evacuations:
		delete(b.evacuated, name)
		b.log.Info("availability zone is back", "zone", name)
	case objectapi.Instances:
		delete(b.instances, name)
	case objectapi.Strikes:
		delete(b.strikes, name)
	}
}

// removeBackend removes a server and returns true. A server whose entry may only have lapsed during an outage of the store
// is kept until the grace time is over.
func (b *board) removeBackend(now time.Time, name string) bool {
	entry := b.backends[name]
	if entry == nil {
		return false
	}
	if until := b.regainedAt.Add(returnTime); !entry.Draining && !b.regainedAt.IsZero() && now.Before(until) {
		if _, held := b.lapsed[name]; !held {
			b.lapsed[name] = until
			b.log.Info("entry lapsed while the store was unavailable; the backend server is kept for a grace time", "backend", name)
		}
		return false
	}
	delete(b.backends, name)
	delete(b.lapsed, name)
	b.log.Info("backend server is removed", "backend", name, "service", entry.Service)
	return true
}

// dropLapsed removes the servers whose grace time is over.
func (b *board) dropLapsed(now time.Time) {
	for name, at := range b.lapsed {
		if !now.Before(at) && b.removeBackend(now, name) {
			b.publish(true)
		}
	}
}

// refuse logs an invalid object, once for each revision.
func (b *board) refuse(o objectapi.Object, err error) {
	key := string(o.Kind) + "/" + o.Name
	if b.refused[key] != o.Version {
		b.refused[key] = o.Version
		b.log.Warn("object is not valid and has no effect", "object", key, "error", err)
	}
}

// publish publishes a new snapshot. When only the age of the data has changed, subscribers are not called.
func (b *board) publish(changed bool) {
	if old := b.beliefs.newest.Load(); old != nil && !changed {
		view := *old.View
		view.ConfigAsOf, view.BackendsAsOf, view.EvacuatedAsOf = b.asOf[objectapi.Configuration], b.asOf[objectapi.Backends], b.asOf[objectapi.Evacuations]
		b.beliefs.newest.Store(&Belief{View: &view, Routes: b.routes})
		return
	}
	view := &fleet.View{
		Config: b.config, Backends: map[string][]*fleet.Backend{}, Evacuated: maps.Clone(b.evacuated),
		ConfigAsOf: b.asOf[objectapi.Configuration], BackendsAsOf: b.asOf[objectapi.Backends],
		EvacuatedAsOf: b.asOf[objectapi.Evacuations],
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
	belief := &Belief{View: view, Routes: b.routes}
	b.beliefs.newest.Store(belief)
	for _, tell := range b.published {
		tell(belief)
	}
}
