package gateway

import (
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// mostLogged bounds the changes of a kind that are kept for peers. A peer that is further behind gets all objects.
const mostLogged = 2000

// archive holds the objects of the store as they were read, so that peers can be told. It is owned by the board.
type archive map[objectapi.Kind]*shelf

// shelf holds the objects of one kind at one revision of the store.
type shelf struct {
	revision uint64
	objects  map[string]objectapi.Object
	// log holds the changes after revision since, in their order.
	log   []logged
	since uint64
	// packed is what was packed last for a peer, and packedFor between which revisions.
	packed    []byte
	packedFor span
}

// span is a range of revisions of the store; from is zero for a whole list.
type span struct{ from, to uint64 }

// logged is a change, and the revision at which it was known here.
type logged struct {
	revision uint64
	event    objectapi.Event
}

func (a archive) shelf(kind objectapi.Kind) *shelf {
	s := a[kind]
	if s == nil {
		s = &shelf{objects: map[string]objectapi.Object{}}
		a[kind] = s
	}
	return s
}

// take stores news. It returns the changes that they bring and false when they do not continue what is known, or are
// older.
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

// replace stores a whole list and returns what it changes.
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

func (s *shelf) trim() {
	if len(s.log) <= mostLogged {
		return
	}
	cut := len(s.log) - mostLogged/2
	s.since = s.log[cut-1].revision
	for cut < len(s.log) && s.log[cut].revision == s.since {
		cut++ // changes of one revision are kept or dropped together
	}
	s.log = append([]logged(nil), s.log[cut:]...)
}

// after returns what one must be told who knows the objects at a revision: changes, or all objects when whole is true.
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
