package gateway

import (
	"cmp"
	"maps"
	"slices"

	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// maxLoggedChanges is the maximum number of objects of a kind whose last change is kept for peers. A peer that is further behind
// receives all objects.
const maxLoggedChanges = 2000

// objectCache caches the objects of the store in encoded form, so that they can be sent to peers. It is owned by the board.
type objectCache map[objectapi.Kind]*kindCache

// kindCache caches the objects of one kind at one position of the store. All its revisions are of the era of that position.
type kindCache struct {
	position objectapi.Position
	// unchangedSince is the earliest revision from which on the objects are known to be the same up to the position.
	unchangedSince uint64
	objects        map[string]objectapi.Object
	// log holds the last change of each object after revision loggedSince, by name. It shares the values of the objects, so it
	// takes no memory for them; removals have none.
	log         map[string]loggedChange
	loggedSince uint64
	// packed is the list that was last compressed for a peer, and packedFor its range of revisions.
	packed    []byte
	packedFor revisionRange
}

// revisionRange is a range of revisions of the store; from is zero for a complete list.
type revisionRange struct{ from, to uint64 }

// loggedChange is a change and the revision at which it was received.
type loggedChange struct {
	revision uint64
	event    objectapi.Event
}

// ofKind returns the objects of a kind. It is empty, at no position, before the first update.
func (c objectCache) ofKind(kind objectapi.Kind) *kindCache {
	cached := c[kind]
	if cached == nil {
		cached = &kindCache{objects: map[string]objectapi.Object{}, log: map[string]loggedChange{}}
		c[kind] = cached
	}
	return cached
}

// revisionIn returns the revision of the position if it is of the given era, and else zero.
func (c *kindCache) revisionIn(era uint64) uint64 {
	if c.position.Era != era {
		return 0
	}
	return c.position.Revision
}

// advance records that the objects are the same at a later position of the same era.
func (c *kindCache) advance(p objectapi.Position) {
	if p.Era == c.position.Era && c.position.Before(p) {
		c.position = p
	}
}

// apply applies an update and returns the changes in it. It returns false if the update is older than the known position or
// does not continue from a position with the same objects.
func (c *kindCache) apply(u *kindUpdate) ([]objectapi.Event, bool) {
	if u.complete {
		return c.replace(u)
	}
	if u.base.Era != c.position.Era || u.position.Era != c.position.Era || c.position.Revision == 0 ||
		u.base.Revision < c.unchangedSince || c.position.Before(u.base) || u.position.Before(c.position) {
		return nil, false
	}
	for _, e := range u.events {
		if e.Deleted {
			delete(c.objects, e.Object.Name)
		} else {
			c.objects[e.Object.Name] = e.Object
		}
		c.logChange(u.position.Revision, e)
	}
	c.position = u.position
	if len(u.events) > 0 {
		c.unchangedSince = u.position.Revision
	}
	c.trimLog()
	return u.events, true
}

// replace applies a complete list and returns the changes against the previous one. All objects of a list of another era count
// as changed.
func (c *kindCache) replace(u *kindUpdate) ([]objectapi.Event, bool) {
	if u.position.Before(c.position) {
		return nil, false
	}
	var changes []objectapi.Event
	listed := make(map[string]objectapi.Object, len(u.events))
	for _, e := range u.events {
		listed[e.Object.Name] = e.Object
		if old, known := c.objects[e.Object.Name]; !known || old.Version != e.Object.Version || old.Era != e.Object.Era {
			changes = append(changes, e)
		}
	}
	for name, old := range c.objects {
		if _, still := listed[name]; !still {
			changes = append(changes, objectapi.Event{Object: old, Deleted: true})
		}
	}
	c.objects = listed
	if c.position.Revision == 0 || u.position.Era != c.position.Era {
		c.log, c.loggedSince, c.packed, c.packedFor = map[string]loggedChange{}, u.position.Revision, nil, revisionRange{}
		c.unchangedSince = u.position.Revision
	} else if len(changes) > 0 {
		c.unchangedSince = u.position.Revision
		for _, e := range changes {
			c.logChange(u.position.Revision, e)
		}
	}
	c.position = u.position
	c.trimLog()
	return changes, true
}

// logChange logs the last change of an object in the place of an earlier one.
func (c *kindCache) logChange(revision uint64, e objectapi.Event) {
	if e.Deleted {
		e.Object.Value = nil
	}
	c.log[e.Object.Name] = loggedChange{revision: revision, event: e}
}

// trimLog drops the older half of the logged changes when there are too many.
func (c *kindCache) trimLog() {
	if len(c.log) <= maxLoggedChanges {
		return
	}
	revisions := make([]uint64, 0, len(c.log))
	for _, l := range c.log {
		revisions = append(revisions, l.revision)
	}
	slices.Sort(revisions)
	c.loggedSince = revisions[len(revisions)-maxLoggedChanges/2-1]
	// The changes of one revision are kept or dropped together.
	maps.DeleteFunc(c.log, func(_ string, l loggedChange) bool { return l.revision <= c.loggedSince })
}

// changesSince returns what a peer that knows the objects at the position is missing: changes, in the order of their revisions, or
// all objects if the second result is true.
func (c *kindCache) changesSince(p objectapi.Position) (events []objectapi.Event, complete bool) {
	if p.Revision == 0 || p.Era != c.position.Era || p.Revision < c.loggedSince {
		for _, o := range c.objects {
			events = append(events, objectapi.Event{Object: o})
		}
		return events, true
	}
	var missing []loggedChange
	for _, l := range c.log {
		if l.revision > p.Revision {
			missing = append(missing, l)
		}
	}
	slices.SortFunc(missing, func(x, y loggedChange) int {
		return cmp.Or(cmp.Compare(x.revision, y.revision), cmp.Compare(x.event.Object.Name, y.event.Object.Name))
	})
	for _, l := range missing {
		events = append(events, l.event)
	}
	return events, false
}
