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

// watchPause is the wait before a watch that has ended is begun again.
const watchPause = time.Second

// writeSpread is over how long instances spread their next attempt after a conflict. Fifty instances then write about
// a hundred times a second.
const writeSpread = 500 * time.Millisecond

// tables is what the keeper task knows of the objects keepers/<zone>.
type tables struct {
	// read is false until the objects were listed once; a zone that is not listed has no object then.
	read bool
	zone map[string]keeper.Table
	// current is until when the tables are known to have been up to date.
	current time.Time
	// held is until when a shard that is now released is known to have had its keeper.
	held map[keeper.Key]time.Time
	// writing names the zones with a write under way, and pause when the next one may follow.
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

// adopt takes a newer table and notes which shards were released since the last one.
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
	// tablesRead carries objects as they were listed, read or watched.
	tablesRead struct {
		objects []objectapi.Object
		// listed is true when the objects are all there are.
		listed bool
		// live is true when no change can have been missed since the last message.
		live bool
	}
	// tableWritten tells how a conditional update ended.
	tableWritten struct {
		next   keeper.Table
		before keeper.Table
		// taken are the services that the write takes.
		taken []string
		err   error
	}
)

// watch starts the goroutine that follows the objects. It ends with the task's context.
func (k *Keeper) watch(ctx context.Context) {
	k.open++
	go func() {
		for ctx.Err() == nil {
			if err := k.follow(ctx); err != nil && ctx.Err() == nil {
				k.Log.Warn("keepers are not watched", "error", err)
			}
			task.Pause(ctx, watchPause)
		}
		_ = k.inbox.Send(context.Background(), callDone{}) // a background context never ends
	}()
}

// follow lists the objects and passes on their changes until the watch ends.
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
	defer func() { _ = watch.Close() }() // the watch is given up; there is nothing to do about an error
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
			k.Log.Error("keepers of a zone cannot be read", "zone", object.Name, "error", err)
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

// adopt takes a newer table and drops own shards that it gives to another owner or epoch.
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

// claim writes the tables of zones where shards are to be taken or handed over.
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

// byZone returns the services that have servers in each zone, and the epochs of those that are kept here.
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

// release writes the tables of zones whose shards are handed over and tells those who wait when none is left.
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

// taken begins to keep a shard, unless a newer table has given it away in the meantime.
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

// readTable reads a table after a write that failed or whose outcome is not known. The zone stays blocked until the
// read has ended. The wait is random, because all instances that start together write the same tables.
func (k *Keeper) readTable(ctx context.Context, zone string) {
	wait := rand.N(writeSpread)
	k.start(ctx, storeTimeout, func(ctx context.Context) any {
		task.Pause(ctx, wait)
		object, err := k.API.Get(ctx, objectapi.Keepers, zone)
		return tableReadBack{zone: zone, object: object, err: err}
	})
}

// tableReadBack carries one table as it was read after a failed write.
type tableReadBack struct {
	zone   string
	object objectapi.Object
	err    error
}

// tableReadBack tries again at once: the table that was just read is the least likely to have changed.
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
