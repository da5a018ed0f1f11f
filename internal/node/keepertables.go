package node

import (
	"context"
	"math/rand/v2"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/keeper"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// watchPause is the delay before a watch that failed is started again.
const watchPause = time.Second

// writeSpread is the range of the random delay before the next attempt after a conflict. Fifty instances then write
// about a hundred times a second.
const writeSpread = 500 * time.Millisecond

// tables is the keeper task's copy of the objects keepers/<zone>.
type tables struct {
	// read is true once the objects were listed; a zone that was not in the list has no object.
	read bool
	zone map[string]keeper.Table
	// current is the latest time at which the tables were known to be up to date.
	current time.Time
	// held is the latest time at which a released shard was known to have its keeper.
	held map[keeper.Key]time.Time
	// writing holds the zones with a write in flight, and pause the earliest time of the next write after a failure.
	writing map[string]bool
	pause   map[string]time.Time
}

func newTables() tables {
	return tables{
		zone: map[string]keeper.Table{}, held: map[keeper.Key]time.Time{}, writing: map[string]bool{}, pause: map[string]time.Time{},
	}
}

// owners returns the owners of all shards that are not released.
func (t *tables) owners() []session.Identity {
	var list []session.Identity
	known := map[session.Identity]bool{}
	for _, table := range t.zone {
		for _, e := range table.Entries {
			if !e.Released && !known[e.Identity] {
				known[e.Identity] = true
				list = append(list, e.Identity)
			}
		}
	}
	return list
}

// adopt stores a newer table and records which shards were released since the previous one.
func (t *tables) adopt(next keeper.Table) bool {
	before := t.zone[next.Zone]
	if next.Version <= before.Version {
		return false
	}
	for service, e := range next.Entries {
		if e.Released && before.Entries[service].Epoch == e.Epoch && !before.Entries[service].Released {
			t.held[keeper.Key{Service: service, Zone: next.Zone}] = t.current
		}
	}
	t.zone[next.Zone] = next
	return true
}

// Messages to a keeper task about its tables.
type (
	// tablesRead carries objects that were listed, read or received from the watch.
	tablesRead struct {
		objects []objectapi.Object
		// listed is true if the list of objects is complete.
		listed bool
		// live is true if the object came from the watch, so that no earlier change can be missing.
		live bool
	}
	// tableWritten carries the result of a conditional update.
	tableWritten struct {
		next   keeper.Table
		before keeper.Table
		// taken are the services whose shards the write claims.
		taken []string
		err   error
	}
)

// watch starts the goroutine that follows the objects until the task's context ends.
func (k *Keeper) watch(ctx context.Context) {
	k.open++
	go func() {
		for ctx.Err() == nil {
			if err := k.follow(ctx); err != nil && ctx.Err() == nil {
				k.Log.Warn("watch of the keeper tables failed", "error", err)
			}
			task.Pause(ctx, watchPause)
		}
		_ = k.inbox.Send(context.Background(), callDone{}) // never fails: the context does not end
	}()
}

// follow lists the objects and forwards their changes until the watch fails.
func (k *Keeper) follow(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	objects, after, err := k.API.List(listCtx, objectapi.Keepers)
	cancel()
	if err != nil {
		return err
	}
	if err := k.inbox.Send(ctx, tablesRead{objects: objects, listed: true}); err != nil {
		return err
	}
	watch, err := k.API.Watch(ctx, objectapi.Keepers, after)
	if err != nil {
		return err
	}
	defer func() { _ = watch.Close() }() // the watch has ended; an error changes nothing
	for {
		event, err := watch.Next(ctx)
		if err != nil {
			return err
		}
		if event.Deleted {
			continue
		}
		if err := k.inbox.Send(ctx, tablesRead{objects: []objectapi.Object{event.Object}, live: true}); err != nil {
			return err
		}
	}
}

func (k *Keeper) tablesRead(now time.Time, m tablesRead) {
	if m.live {
		k.tables.current = now
	}
	for _, object := range m.objects {
		table, err := decodeTable(object)
		if err != nil {
			k.Log.Error("keeper table of a zone cannot be decoded", "zone", object.Name, "error", err)
			continue
		}
		k.adopt(table)
	}
	if m.listed {
		k.tables.read = true
		k.tables.current = now
	}
	k.publishOwners()
}

// adopt stores a newer table and drops the shards kept here that it assigns to another owner or epoch.
func (k *Keeper) adopt(table keeper.Table) {
	if !k.tables.adopt(table) {
		return
	}
	for key, shard := range k.shards {
		e := table.Entries[key.Service]
		if key.Zone == table.Zone && (e.Owner != shard.Entry().Owner || e.Epoch != shard.Entry().Epoch || e.Released) {
			delete(k.shards, key)
		}
	}
}

func (k *Keeper) publishOwners() {
	owners := map[keeper.Key]string{}
	for zone, table := range k.tables.zone {
		for service, e := range table.Entries {
			if !e.Released {
				owners[keeper.Key{Service: service, Zone: zone}] = e.Instance
			}
		}
	}
	k.owners.Store(&owners)
}

// claim writes the tables of the zones in which shards are to be claimed or released.
func (k *Keeper) claim(ctx context.Context, now time.Time) {
	if !k.tables.read {
		return
	}
	if k.leaving {
		k.release(ctx, now)
		return
	}
	authority := k.Sessions.Authority()
	if !authority.Valid(now) {
		return
	}
	self := keeper.Owner{Identity: k.id, Generation: authority.Generation}
	live := k.View().In(k.Self.Region)
	services, owned := k.byZone()
	for zone, list := range services {
		before := k.table(zone)
		if !k.mayWrite(now, zone) {
			continue
		}
		taken := before.Claims(self, owned[zone], list, live, k.Sessions.Seen())
		if len(taken) > 0 {
			k.write(ctx, tableWritten{before: before, next: before.Take(self, taken), taken: taken})
		}
	}
}

func (k *Keeper) table(zone string) keeper.Table {
	if t, ok := k.tables.zone[zone]; ok {
		return t
	}
	return keeper.Table{Zone: zone}
}

func (k *Keeper) mayWrite(now time.Time, zone string) bool {
	return !k.tables.writing[zone] && !now.Before(k.tables.pause[zone])
}

// byZone returns the services with servers in each zone, and the epochs of the shards kept here.
func (k *Keeper) byZone() (services map[string][]string, owned map[string]map[string]uint64) {
	services, owned = map[string][]string{}, map[string]map[string]uint64{}
	for key := range k.specs {
		services[key.Zone] = append(services[key.Zone], key.Service)
		if owned[key.Zone] == nil {
			owned[key.Zone] = map[string]uint64{}
		}
		if shard, ok := k.shards[key]; ok {
			owned[key.Zone][key.Service] = shard.Entry().Epoch
		}
	}
	return services, owned
}

// release writes the tables of the zones whose shards are handed over, and replies to the waiting Leave calls when
// none is left.
func (k *Keeper) release(ctx context.Context, now time.Time) {
	self := keeper.Owner{Identity: k.id, Generation: k.Sessions.Authority().Generation}
	left := 0
	for zone, warm := range k.warm {
		before := k.table(zone)
		if !before.Holds(self, warm) {
			continue
		}
		left++
		if k.mayWrite(now, zone) {
			k.write(ctx, tableWritten{before: before, next: before.Release(self, warm)})
		}
	}
	if left > 0 {
		return
	}
	for _, reply := range k.leavers {
		reply <- struct{}{}
	}
	k.leavers = nil
}

// write starts a conditional update of one table.
func (k *Keeper) write(ctx context.Context, m tableWritten) {
	zone := m.next.Zone
	k.tables.writing[zone] = true
	k.start(ctx, storeTimeout, func(ctx context.Context) any {
		value, err := encodeTable(m.next)
		if err != nil {
			m.err = err
			return m
		}
		var object objectapi.Object
		if m.before.Version == 0 {
			object, m.err = k.API.Create(ctx, objectapi.Keepers, zone, value)
		} else {
			object, m.err = k.API.Update(ctx, objectapi.Keepers, zone, m.before.Version, value)
		}
		m.next.Version = object.Version
		return m
	})
}

func (k *Keeper) tableWritten(ctx context.Context, now time.Time, m tableWritten) {
	zone := m.next.Zone
	if m.err != nil {
		k.readTable(ctx, zone)
		return
	}
	delete(k.tables.writing, zone)
	k.adopt(m.next)
	for _, service := range m.taken {
		k.taken(now, keeper.Key{Service: service, Zone: zone}, m)
	}
	k.publishOwners()
}

// taken starts to keep a shard, unless a newer table has assigned it to another owner in the meantime.
func (k *Keeper) taken(now time.Time, key keeper.Key, m tableWritten) {
	entry := m.next.Entries[key.Service]
	current := k.tables.zone[key.Zone].Entries[key.Service]
	if current.Owner != entry.Owner || current.Epoch != entry.Epoch || k.leaving {
		return
	}
	var warm []keeper.Warm
	if until, ok := k.tables.held[key]; ok && now.Sub(until) < handoverAge {
		warm = m.before.Entries[key.Service].Warm
	}
	delete(k.tables.held, key)
	k.keep(now, key, entry, warm)
}

// readTable reads a table back after a write that failed or whose outcome is unknown. No other write of the zone
// starts until the read has ended. The delay is random, because instances that start together write the same tables.
func (k *Keeper) readTable(ctx context.Context, zone string) {
	wait := rand.N(writeSpread)
	k.start(ctx, storeTimeout, func(ctx context.Context) any {
		task.Pause(ctx, wait)
		object, err := k.API.Get(ctx, objectapi.Keepers, zone)
		return tableReadBack{zone: zone, object: object, err: err}
	})
}

// tableReadBack carries a table that was read back after a failed write.
type tableReadBack struct {
	zone   string
	object objectapi.Object
	err    error
}

// tableReadBack retries at once: the table that was just read is the least likely to have changed.
func (k *Keeper) tableReadBack(ctx context.Context, now time.Time, m tableReadBack) {
	delete(k.tables.writing, m.zone)
	if m.err != nil {
		k.tables.pause[m.zone] = now.Add(watchPause)
		return
	}
	k.tablesRead(now, tablesRead{objects: []objectapi.Object{m.object}})
	if ctx.Err() == nil {
		k.claim(ctx, now)
	}
}
