package gateway

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/dispatch"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// boardCapacity bounds the news that wait; feeds block.
	boardCapacity = 64
	// returnTime is how long entries that lapsed while the store was away may take to come back.
	returnTime = 2 * time.Second
	// configObject is the name of the object that holds the newest configuration.
	configObject = "main"
)

// board is the task that merges what feeds learn and publishes it.
type board struct {
	inbox   *task.Mailbox[any]
	schema  Schema
	beliefs *Beliefs
	log     *slog.Logger
	// published is told of each new belief.
	published []func(*Belief)
	feeds     map[objectapi.Kind]*feed

	config    *fleet.Config
	routes    *dispatch.Table
	backends  map[string]*fleet.Backend
	evacuated map[string]bool
	instances map[string]fleet.Instance
	asOf      map[objectapi.Kind]time.Time
	serial    uint64
	// lapsed holds entries that were removed while the store was away or just after, until they count as gone.
	lapsed     map[string]time.Time
	regainedAt time.Time
	lost       bool
	// refused holds the revision of the last invalid object by kind and name, so that each is logged once.
	refused map[string]uint64
}

func newBoard(schema Schema, beliefs *Beliefs, log *slog.Logger) *board {
	return &board{
		inbox: task.NewMailbox[any]("board", boardCapacity), schema: schema, beliefs: beliefs, log: log,
		backends: map[string]*fleet.Backend{}, evacuated: map[string]bool{}, instances: map[string]fleet.Instance{},
		feeds: map[objectapi.Kind]*feed{}, asOf: map[objectapi.Kind]time.Time{}, lapsed: map[string]time.Time{}, refused: map[string]uint64{},
	}
}

// run is the body of the task.
func (b *board) run(ctx context.Context) error {
	for {
		timer := time.NewTimer(b.untilLapse())
		select {
		case m := <-b.inbox.C():
			b.handle(time.Now(), m)
		case <-timer.C:
			b.dropLapsed(time.Now())
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		timer.Stop()
	}
}

// idleWait is the wait when no entry is about to count as gone.
const idleWait = time.Hour

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
		if m.kind == objectapi.Backends {
			b.lost = true
		}
	case storeRegained:
		b.regained(now, m.kind)
	case learned:
		b.learn(now, m)
	}
}

// regained lets the other feeds ask again at once: a call that began while the store was away may hang.
func (b *board) regained(now time.Time, kind objectapi.Kind) {
	if kind != objectapi.Backends {
		return
	}
	b.lost, b.regainedAt = false, now
	for other, f := range b.feeds {
		if other != kind {
			f.askAgain()
		}
	}
}

func (b *board) learn(now time.Time, l learned) {
	changed := false
	if l.whole {
		changed = b.forgetOthers(now, l)
	}
	for _, e := range l.events {
		if e.Deleted {
			changed = b.remove(now, l.kind, e.Object.Name) || changed
			continue
		}
		changed = b.take(e.Object) || changed
	}
	b.asOf[l.kind] = l.asOf
	if l.kind != objectapi.Instances || changed {
		b.publish()
	}
}

// forgetOthers removes what a whole list does not name.
func (b *board) forgetOthers(now time.Time, l learned) bool {
	listed := map[string]bool{}
	for _, e := range l.events {
		listed[e.Object.Name] = true
	}
	changed := false
	for _, name := range b.names(l.kind) {
		if !listed[name] {
			changed = b.remove(now, l.kind, name) || changed
		}
	}
	return changed
}

func (b *board) names(kind objectapi.Kind) []string {
	switch kind {
	case objectapi.Backends:
		return slices.Collect(maps.Keys(b.backends))
	case objectapi.Evacuations:
		return slices.Collect(maps.Keys(b.evacuated))
	case objectapi.Instances:
		return slices.Collect(maps.Keys(b.instances))
	}
	return nil
}

func (b *board) take(o objectapi.Object) bool {
	switch o.Kind {
	case objectapi.Configuration:
		return b.takeConfig(o)
	case objectapi.Backends:
		return b.takeBackend(o)
	case objectapi.Evacuations:
		b.evacuated[o.Name] = true
		b.log.Info("availability zone is taken out", "zone", o.Name, "revision", o.Version)
		return true
	case objectapi.Instances:
		instance, err := b.schema.Instance(o)
		if err != nil {
			b.refuse(o, err)
			return false
		}
		b.instances[o.Name] = instance
		return true
	}
	return false
}

// takeConfig puts a configuration in force unless a newer one is.
func (b *board) takeConfig(o objectapi.Object) bool {
	if o.Name != configObject {
		return false
	}
	config, err := b.schema.Config(o)
	if err != nil {
		b.refuse(o, err)
		return false
	}
	if b.config != nil && config.Version <= b.config.Version {
		return false
	}
	b.config, b.routes = config, dispatch.NewTable(config)
	b.log.Info("configuration is in force", "version", uint64(config.Version), "revision", o.Version, "routes", len(config.Routes))
	return true
}

// takeBackend keeps the newest entry of a server. An entry that cannot be read names no server.
func (b *board) takeBackend(o objectapi.Object) bool {
	entry, err := b.schema.Backend(o)
	if err != nil {
		b.refuse(o, err)
		delete(b.backends, o.Name)
		return true
	}
	old := b.backends[o.Name]
	if old != nil && (entry.Born < old.Born || entry.Born == old.Born && entry.Sequence < old.Sequence) {
		b.log.Info("late entry of a backend server is passed over", "backend", o.Name, "born", entry.Born, "sequence", entry.Sequence)
		return false
	}
	if old == nil || old.Born != entry.Born || old.Draining != entry.Draining {
		b.log.Info("backend server is known", "backend", o.Name, "service", entry.Service, "zone", entry.Place.Zone,
			"draining", entry.Draining, "cold_ms", entry.ColdFor.Milliseconds(), "revision", o.Version)
	}
	delete(b.lapsed, o.Name)
	b.backends[o.Name] = entry
	return true
}

func (b *board) remove(now time.Time, kind objectapi.Kind, name string) bool {
	switch kind {
	case objectapi.Backends:
		return b.removeBackend(now, name)
	case objectapi.Evacuations:
		delete(b.evacuated, name)
		b.log.Info("availability zone is back", "zone", name)
	case objectapi.Instances:
		delete(b.instances, name)
	}
	return true
}

// removeBackend removes a server, unless its entry may only have lapsed while the store was away.
func (b *board) removeBackend(now time.Time, name string) bool {
	entry := b.backends[name]
	if entry == nil {
		return false
	}
	if until := b.regainedAt.Add(returnTime); !entry.Draining && !b.regainedAt.IsZero() && now.Before(until) {
		if _, held := b.lapsed[name]; !held {
			b.lapsed[name] = until
			b.log.Info("entry lapsed while the store was away; the backend server is kept for a while", "backend", name)
		}
		return false
	}
	delete(b.backends, name)
	delete(b.lapsed, name)
	b.log.Info("backend server is gone", "backend", name, "service", entry.Service)
	return true
}

func (b *board) dropLapsed(now time.Time) {
	for name, at := range b.lapsed {
		if !now.Before(at) {
			b.removeBackend(now, name)
		}
	}
	b.publish()
}

func (b *board) refuse(o objectapi.Object, err error) {
	key := string(o.Kind) + "/" + o.Name
	if b.refused[key] != o.Version {
		b.refused[key] = o.Version
		b.log.Warn("object is not valid and has no effect", "object", key, "error", err)
	}
}

func (b *board) publish() {
	b.serial++
	view := &fleet.View{
		Config: b.config, Backends: map[string][]*fleet.Backend{}, Evacuated: maps.Clone(b.evacuated),
		ConfigAsOf: b.asOf[objectapi.Configuration], BackendsAsOf: b.asOf[objectapi.Backends],
		EvacuatedAsOf: b.asOf[objectapi.Evacuations], Serial: b.serial,
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
