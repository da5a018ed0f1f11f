package objectapi

import (
	"maps"
	"slices"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// objects holds the objects of each kind by name.
type objects map[objectapi.Kind]map[string]objectapi.Object

// state holds the objects and watches. It is owned by the store's task.
type state struct {
	switches Switches
	counts   Counts
	version  uint64
	objects  objects
	// history holds the most recent changes of each kind, oldest first. droppedVersions holds the version of the
	// last change that was removed from it.
	history         map[objectapi.Kind][]objectapi.Event
	droppedVersions map[objectapi.Kind]uint64
	watches         map[*watch]bool
	// olderObjects holds the objects that reads return while OlderReads is set; olderVersion is their version.
	olderObjects objects
	olderVersion uint64
	// staleInstances holds the instances that reads return while StaleInstances is set; staleVersion is their version.
	staleInstances map[string]objectapi.Object
	staleVersion   uint64
}

func newState() *state {
	return &state{
		objects: objects{}, history: map[objectapi.Kind][]objectapi.Event{}, droppedVersions: map[objectapi.Kind]uint64{},
		watches: map[*watch]bool{},
	}
}

func (s *state) handle(m any) {
	switch m := m.(type) {
	case readRequest:
		m.reply <- s.read(m)
	case writeRequest:
		m.reply <- s.write(m)
	case openWatch:
		m.reply <- s.openWatch(m)
	case closeWatchRequest:
		s.closeWatch(m.watch, nil)
	case cutWatchesRequest:
		s.cutWatches("")
		m.reply <- struct{}{}
	case setSwitchesRequest:
		s.setSwitches(m.switches)
		m.reply <- struct{}{}
	case getSwitchesRequest:
		m.reply <- s.switches
	case getCountsRequest:
		m.reply <- s.counts
	}
}

func (s *state) delay() time.Duration { return time.Duration(s.switches.DelayMs) * time.Millisecond }

func downError() error {
	return fault.New(fault.StoreUnavailable, "check the platform's object API", "the object API does not answer")
}

func (s *state) read(m readRequest) readReply {
	s.counts.Reads++
	if s.switches.Down {
		return readReply{delay: s.delay(), err: downError()}
	}
	visible, version := s.visible(m.kind)
	if m.name == "" {
		list := slices.Collect(maps.Values(visible))
		slices.SortFunc(list, func(a, b objectapi.Object) int { return strings.Compare(a.Name, b.Name) })
		return readReply{delay: s.delay(), objects: list, version: version}
	}
	object, ok := visible[m.name]
	if !ok {
		return readReply{delay: s.delay(), err: notFoundError(m.kind, m.name)}
	}
	return readReply{delay: s.delay(), objects: []objectapi.Object{object}}
}

// visible returns the objects of a kind that are visible to reads, and their version.
func (s *state) visible(kind objectapi.Kind) (map[string]objectapi.Object, uint64) {
	switch {
	case kind == objectapi.Instances && s.switches.StaleInstances:
		return s.staleInstances, s.staleVersion
	case s.switches.OlderReads:
		return s.olderObjects[kind], s.olderVersion
	}
	return s.objects[kind], s.version
}

func notFoundError(kind objectapi.Kind, name string) error {
	return fault.New(fault.NotFound, "check the kind and the name", "object %s/%s does not exist", kind, name)
}

func (s *state) write(m writeRequest) writeReply {
	s.counts.Writes++
	if s.switches.Down {
		return writeReply{delay: s.delay(), err: downError()}
	}
	object, err := s.apply(m.action, m.object)
	if err == nil && s.switches.LoseAnswers > 0 {
		s.switches.LoseAnswers--
		err = fault.New(fault.AmbiguousWrite, "read the object back", "the answer to a write of %s/%s was lost", m.object.Kind, m.object.Name)
	}
	return writeReply{delay: s.delay(), object: object, err: err}
}

func (s *state) apply(a action, o objectapi.Object) (objectapi.Object, error) {
	current, exists := s.objects[o.Kind][o.Name]
	switch {
	case a != create && !exists:
		return objectapi.Object{}, notFoundError(o.Kind, o.Name)
	case a == create && exists, a != create && current.Version != o.Version:
		return objectapi.Object{}, fault.New(fault.Conflict, "get the object, make the change again and apply it",
			"object %s/%s has been changed by someone else or exists already", o.Kind, o.Name)
	}
	s.version++
	o.Version = s.version
	if a == remove {
		delete(s.objects[o.Kind], o.Name)
	} else {
		if s.objects[o.Kind] == nil {
			s.objects[o.Kind] = map[string]objectapi.Object{}
		}
		s.objects[o.Kind][o.Name] = o
	}
	s.publish(objectapi.Event{Object: o, Deleted: a == remove})
	return o, nil
}

// publish adds a change to the history and sends it to the watches.
func (s *state) publish(e objectapi.Event) {
	kind := e.Object.Kind
	history := append(s.history[kind], e)
	if len(history) > historyLength {
		s.droppedVersions[kind] = history[0].Object.Version
		history = history[1:]
	}
	s.history[kind] = history
	if kind == objectapi.Instances && s.switches.StaleInstances {
		return
	}
	for w := range s.watches {
		if w.kind == kind && !w.offer(e) {
			s.closeWatch(w, downError())
		}
	}
}

func (s *state) openWatch(m openWatch) watchReply {
	s.counts.Reads++
	if s.switches.Down {
		return watchReply{delay: s.delay(), err: downError()}
	}
	if m.after < s.droppedVersions[m.kind] {
		return watchReply{delay: s.delay(), err: fault.New(fault.TooOld, "list the objects again and watch from there",
			"version %d of %s is too old to watch from", m.after, m.kind)}
	}
	w := newWatch(m.store, m.kind)
	s.watches[w] = true
	if m.kind == objectapi.Instances && s.switches.StaleInstances {
		return watchReply{delay: s.delay(), watch: w}
	}
	for _, e := range s.history[m.kind] {
		if e.Object.Version > m.after && !w.offer(e) {
			s.closeWatch(w, downError())
			break
		}
	}
	return watchReply{delay: s.delay(), watch: w}
}

func (s *state) closeWatch(w *watch, err error) {
	if !s.watches[w] {
		return
	}
	delete(s.watches, w)
	if err != nil {
		w.failure <- err
	}
	close(w.events)
}

// cutWatches ends the watches of a kind, or all watches for the empty kind.
func (s *state) cutWatches(kind objectapi.Kind) {
	for w := range s.watches {
		if kind == "" || w.kind == kind {
			s.closeWatch(w, downError())
		}
	}
}

func (s *state) setSwitches(next Switches) {
	if next.OlderReads && !s.switches.OlderReads {
		s.olderObjects, s.olderVersion = s.copyObjects(), s.version
	}
	if next.StaleInstances && !s.switches.StaleInstances {
		s.staleInstances, s.staleVersion = maps.Clone(s.objects[objectapi.Instances]), s.version
	}
	// The watches of instances have missed changes. Ending them makes their readers resume or list again.
	if !next.StaleInstances && s.switches.StaleInstances {
		s.cutWatches(objectapi.Instances)
	}
	if next.Down {
		s.cutWatches("")
	}
	s.switches = next
}

func (s *state) copyObjects() objects {
	all := objects{}
	for kind, named := range s.objects {
		all[kind] = maps.Clone(named)
	}
	return all
}
