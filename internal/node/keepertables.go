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

// watchRetryDelay is the delay before a watch that failed is started again, and before a zone whose table could not be
// read back is written again.
const watchRetryDelay = time.Second

// writeJitter is the range of the random delay before the next attempt after a conflict. Fifty instances then write
// about a hundred times a second.
const writeJitter = 500 * time.Millisecond

// tables is the keeper task's copy of the objects keepers/<zone>.
type tables struct {
	// listed is true once the objects were listed; a zone that was not in the list has no object.
	listed bool
	zones  map[string]keeper.Table
	// upToDateAt is the latest time at which the tables were known to be up to date.
	upToDateAt time.Time
	// lastKept is the latest time at which a released shard was known to have its keeper.
	lastKept map[keeper.Key]time.Time
	// writing holds the zones with a write in flight, and retryAt the earliest time of the next write after a failure.
	writing map[string]bool
	retryAt map[string]time.Time
}

func newTables() tables {
	return tables{
		zones: map[string]keeper.Table{}, lastKept: map[keeper.Key]time.Time{}, writing: map[string]bool{}, retryAt: map[string]time.Time{},
	}
}

// owners returns the owners of all shards that are not released.
func (t *tables) owners() []session.Identity {
	var list []session.Identity
	seen := map[session.Identity]bool{}
	for _, table := range t.zones {
		for _, e := range table.Entries {
			if !e.Released && !seen[e.Identity] {
				seen[e.Identity] = true
				list = append(list, e.Identity)
			}
		}
	}
	return list
}

// adopt stores a newer table and records which shards were released since the previous one.
func (t *tables) adopt(next keeper.Table) bool {
	before := t.zones[next.Zone]
	if next.Version <= before.Version {
		return false
	}
	for service, e := range next.Entries {
		if e.Released && before.Entries[service].Epoch == e.Epoch && !before.Entries[service].Released {
			t.lastKept[keeper.Key{Service: service, Zone: next.Zone}] = t.upToDateAt
		}
	}
	t.zones[next.Zone] = next
	return true
}

// Messages to a keeper task about its tables.
type (
	// tablesUpdate carries objects that were listed, read or received from the watch.
	tablesUpdate struct {
		objects []objectapi.Object
		// complete is true if objects holds the tables of all zones.
		complete bool
		// watched is true if the object came from the watch, so that no earlier change can be missing.
		watched bool
	}
	// tableWrite is a conditional update of one table. It comes back to the task with the new version or an error.
	tableWrite struct {
		next     keeper.Table
		previous keeper.Table
		// claimed are the services whose shards the write claims.
		claimed []string
		err     error
	}
)

// watchTables starts the goroutine that follows the objects until the task's context ends.
func (k *Keeper) watchTables(ctx context.Context) {
	k.inFlight++
	go func() {
		for ctx.Err() == nil {
			if err := k.followTables(ctx); err != nil && ctx.Err() == nil {
				k.Log.Warn("watch of the keeper tables failed", "error", err)
			}
			task.Pause(ctx, watchRetryDelay)
		}
		_ = k.inbox.Send(context.Background(), callResult{}) // never fails: the context does not end
	}()
}

// followTables lists the objects and forwards their changes until the watch fails.
func (k *Keeper) followTables(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	objects, after, err := k.API.List(listCtx, objectapi.Keepers)
	cancel()
	if err != nil {
		return err
	}
	if err := k.inbox.Send(ctx, tablesUpdate{objects: objects, complete: true}); err != nil {
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
		if err := k.inbox.Send(ctx, tablesUpdate{objects: []objectapi.Object{event.Object}, watched: true}); err != nil {
			return err
		}
	}
}

func (k *Keeper) applyTables(now time.Time, m tablesUpdate) {
	if m.watched {
		k.tables.upToDateAt = now
	}
	for _, object := range m.objects {
		table, err := decodeTable(object)
		if err != nil {
			k.Log.Error("keeper table of a zone cannot be decoded", "zone", object.Name, "error", err)
			continue
		}
		k.adopt(table)
	}
	if m.complete {
		k.tables.listed = true
		k.tables.upToDateAt = now
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
	for zone, table := range k.tables.zones {
		for service, e := range table.Entries {
			if !e.Released {
				owners[keeper.Key{Service: service, Zone: zone}] = e.Instance
			}
		}
	}
	k.owners.Store(&owners)
}

// claimShards writes the tables of the zones in which shards are to be claimed or released.
func (k *Keeper) claimShards(ctx context.Context, now time.Time) {
	if !k.tables.listed {
		return
	}
	if k.leaving {
		k.releaseShards(ctx, now)
		return
	}
	authority := k.Sessions.Authority()
	if !authority.Valid(now) {
		return
	}
	self := keeper.Owner{Identity: k.id, Generation: authority.Generation}
	live := k.View().In(k.Self.Region)
	services, owned := k.servicesByZone()
	for zone, list := range services {
		table := k.table(zone)
		if !k.mayWrite(now, zone) {
			continue
		}
		claimed := table.ServicesToTake(self, owned[zone], list, live, k.Sessions.Observed())
		if len(claimed) > 0 {
			k.writeTable(ctx, tableWrite{previous: table, next: table.Take(self, claimed), claimed: claimed})
		}
	}
}

func (k *Keeper) table(zone string) keeper.Table {
	if t, ok := k.tables.zones[zone]; ok {
		return t
	}
	return keeper.Table{Zone: zone}
}

func (k *Keeper) mayWrite(now time.Time, zone string) bool {
	return !k.tables.writing[zone] && !now.Before(k.tables.retryAt[zone])
}

// servicesByZone returns the services with servers in each zone, and the epochs of the shards kept here.
func (k *Keeper) servicesByZone() (services map[string][]string, owned map[string]map[string]uint64) {
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

// releaseShards writes the tables of the zones whose shards are handed over, and replies to the waiting Leave calls
// when none is left.
func (k *Keeper) releaseShards(ctx context.Context, now time.Time) {
	self := keeper.Owner{Identity: k.id, Generation: k.Sessions.Authority().Generation}
	remaining := 0
	for zone, warm := range k.warm {
		before := k.table(zone)
		if !before.OwnsAny(self, warm) {
			continue
		}
		remaining++
		if k.mayWrite(now, zone) {
			k.writeTable(ctx, tableWrite{previous: before, next: before.Release(self, warm)})
		}
	}
	if remaining > 0 {
		return
	}
	for _, reply := range k.leaveReplies {
		reply <- struct{}{}
	}
	k.leaveReplies = nil
}

// writeTable starts a conditional update of one table.
func (k *Keeper) writeTable(ctx context.Context, m tableWrite) {
	zone := m.next.Zone
	k.tables.writing[zone] = true
	k.start(ctx, storeTimeout, func(ctx context.Context) any {
		value, err := encodeTable(m.next)
		if err != nil {
			m.err = err
			return m
		}
		var object objectapi.Object
		if m.previous.Version == 0 {
			object, m.err = k.API.Create(ctx, objectapi.Keepers, zone, value)
		} else {
			object, m.err = k.API.Update(ctx, objectapi.Keepers, zone, m.previous.Version, value)
		}
		m.next.Version = object.Version
		return m
	})
}

func (k *Keeper) handleTableWrite(ctx context.Context, now time.Time, m tableWrite) {
	zone := m.next.Zone
	if m.err != nil {
		k.readTable(ctx, zone)
		return
	}
	delete(k.tables.writing, zone)
	k.adopt(m.next)
	for _, service := range m.claimed {
		k.startClaimed(now, keeper.Key{Service: service, Zone: zone}, m)
	}
	k.publishOwners()
}

// startClaimed starts to keep a shard, unless a newer table has assigned it to another owner in the meantime. The warm
// servers of the previous keeper count only if that keeper had the shard within handoverAge.
func (k *Keeper) startClaimed(now time.Time, key keeper.Key, m tableWrite) {
	entry := m.next.Entries[key.Service]
	current := k.tables.zones[key.Zone].Entries[key.Service]
	if current.Owner != entry.Owner || current.Epoch != entry.Epoch || k.leaving {
		return
	}
	var warm []keeper.WarmServer
	if lastKept, ok := k.tables.lastKept[key]; ok && now.Sub(lastKept) < handoverAge {
		warm = m.previous.Entries[key.Service].WarmServers
	}
	delete(k.tables.lastKept, key)
	k.startShard(now, key, entry, warm)
}

// readTable reads a table back after a write that failed or whose outcome is unknown. No other write of the zone
// starts until the read has ended. The delay is random, because instances that start together write the same tables.
func (k *Keeper) readTable(ctx context.Context, zone string) {
	wait := rand.N(writeJitter)
	k.start(ctx, storeTimeout, func(ctx context.Context) any {
		task.Pause(ctx, wait)
		object, err := k.API.Get(ctx, objectapi.Keepers, zone)
		return tableReadResult{zone: zone, object: object, err: err}
	})
}

// tableReadResult carries a table that was read back after a failed write.
type tableReadResult struct {
	zone   string
	object objectapi.Object
	err    error
}

// handleTableRead retries at once: the table that was just read is the least likely to have changed.
func (k *Keeper) handleTableRead(ctx context.Context, now time.Time, m tableReadResult) {
	delete(k.tables.writing, m.zone)
	if m.err != nil {
		k.tables.retryAt[m.zone] = now.Add(watchRetryDelay)
		return
	}
	k.applyTables(now, tablesUpdate{objects: []objectapi.Object{m.object}})
	if ctx.Err() == nil {
		k.claimShards(ctx, now)
	}
}
