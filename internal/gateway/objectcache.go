package gateway

import (
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// maxLoggedChanges is the maximum number of changes of a kind that are kept for peers. A peer that is further behind
// receives all objects.
const maxLoggedChanges = 2000

// objectCache caches the objects of the store in encoded form, so that they can be sent to peers. It is owned by the board.
type objectCache map[objectapi.Kind]*kindCache

// kindCache caches the objects of one kind at one revision of the store.
type kindCache struct {
	revision uint64
	objects  map[string]objectapi.Object
	// log holds the changes after revision since, in order.
	log         []loggedChange
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

// ofKind returns the objects of a kind. It is empty at revision zero before the first update.
func (a objectCache) ofKind(kind objectapi.Kind) *kindCache {
	s := a[kind]
	if s == nil {
		s = &kindCache{objects: map[string]objectapi.Object{}}
		a[kind] = s
	}
	return s
}

// apply applies an update and returns the changes in it. It returns false if the update is older than the known revision or
// does not continue from it.
func (s *kindCache) apply(l *kindUpdate) ([]objectapi.Event, bool) {
	if l.complete {
		return s.replace(l)
	}
	if l.baseRevision != s.revision || l.revision < s.revision || s.revision == 0 {
		return nil, false
	}
	for _, e := range l.events {
		if e.Deleted {
			delete(s.objects, e.Object.Name)
		} else {
			s.objects[e.Object.Name] = e.Object
		}
		s.log = append(s.log, loggedChange{revision: l.revision, event: e})
	}
	s.revision = l.revision
	s.trimLog()
	return l.events, true
}

// replace applies a complete list and returns the changes against the previous one.
func (s *kindCache) replace(l *kindUpdate) ([]objectapi.Event, bool) {
	if l.revision < s.revision {
		return nil, false
	}
	var changes []objectapi.Event
	listed := make(map[string]objectapi.Object, len(l.events))
	for _, e := range l.events {
		listed[e.Object.Name] = e.Object
		if old, known := s.objects[e.Object.Name]; !known || old.Version != e.Object.Version {
			changes = append(changes, e)
		}
	}
	for name, old := range s.objects {
		if _, still := listed[name]; !still {
			changes = append(changes, objectapi.Event{Object: old, Deleted: true})
		}
	}
	s.objects, s.revision = listed, l.revision
	s.log, s.loggedSince = nil, l.revision
	return changes, true
}

// trimLog drops the older half of the logged changes when there are too many.
func (s *kindCache) trimLog() {
	if len(s.log) <= maxLoggedChanges {
		return
	}
	cut := len(s.log) - maxLoggedChanges/2
	s.loggedSince = s.log[cut-1].revision
	for cut < len(s.log) && s.log[cut].revision == s.loggedSince {
		cut++ // the changes of one revision are kept or dropped together
	}
	s.log = append([]loggedChange(nil), s.log[cut:]...)
}

// changesSince returns what a peer that knows the objects at the revision is missing: changes, or all objects if the second
// result is true.
func (s *kindCache) changesSince(revision uint64) (events []objectapi.Event, complete bool) {
	if revision == 0 || revision < s.loggedSince {
		for _, o := range s.objects {
			events = append(events, objectapi.Event{Object: o})
		}
		return events, true
	}
	for _, l := range s.log {
		if l.revision > revision {
			events = append(events, l.event)
		}
	}
	return events, false
}
