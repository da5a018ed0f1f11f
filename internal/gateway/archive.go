package gateway

import (
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// mostLogged is the maximum number of changes of a kind that are kept for peers. A peer that is further behind receives all
// objects.
const mostLogged = 2000

// archive caches the objects of the store in encoded form, so that they can be sent to peers. It is owned by the board.
type archive map[objectapi.Kind]*shelf

// shelf caches the objects of one kind at one revision of the store.
type shelf struct {
	revision uint64
	objects  map[string]objectapi.Object
	// log holds the changes after revision since, in order.
	log   []logged
	since uint64
	// packed is the list that was last compressed for a peer, and packedFor its range of revisions.
	packed    []byte
	packedFor span
}

// span is a range of revisions of the store; from is zero for a complete list.
type span struct{ from, to uint64 }

// logged is a change and the revision at which it was received.
type logged struct {
	revision uint64
	event    objectapi.Event
}

// shelf returns the objects of a kind. It is empty at revision zero before the first update.
func (a archive) shelf(kind objectapi.Kind) *shelf {
	s := a[kind]
	if s == nil {
		s = &shelf{objects: map[string]objectapi.Object{}}
		a[kind] = s
	}
	return s
}

// take applies an update and returns the changes in it. It returns false if the update is older than the known revision or
// does not continue from it.
func (s *shelf) take(l *learned) ([]objectapi.Event, bool) {
	if l.whole {
		return s.replace(l)
	}
	if l.base != s.revision || l.revision < s.revision || s.revision == 0 {
		return nil, false
	}
	for _, e := range l.events {
		if e.Deleted {
			delete(s.objects, e.Object.Name)
		} else {
			s.objects[e.Object.Name] = e.Object
		}
		s.log = append(s.log, logged{revision: l.revision, event: e})
	}
	s.revision = l.revision
	s.trim()
	return l.events, true
}

// replace applies a complete list and returns the changes against the previous one.
func (s *shelf) replace(l *learned) ([]objectapi.Event, bool) {
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
	s.log, s.since = nil, l.revision
	return changes, true
}

// trim drops the older half of the logged changes when there are too many.
func (s *shelf) trim() {
	if len(s.log) <= mostLogged {
		return
	}
	cut := len(s.log) - mostLogged/2
	s.since = s.log[cut-1].revision
	for cut < len(s.log) && s.log[cut].revision == s.since {
		cut++ // the changes of one revision are kept or dropped together
	}
	s.log = append([]logged(nil), s.log[cut:]...)
}

// after returns what a peer that knows the objects at the revision is missing: changes, or all objects if the second
// result is true.
func (s *shelf) after(revision uint64) (events []objectapi.Event, whole bool) {
	if revision == 0 || revision < s.since {
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
