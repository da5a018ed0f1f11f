package gateway

import (
	"fmt"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// Guards against memory and traffic that grow with the number of versions of a large object: versions that were replaced were kept for
// peers and sent to them, until all instances exceeded their memory (review/7).
func TestFormerVersionsTakeNoMemory(t *testing.T) {
	const size, versions, others = 400 << 10, 1500, 3
	for _, complete := range []bool{false, true} {
		t.Run(fmt.Sprintf("complete lists: %t", complete), func(t *testing.T) {
			cached := objectCache{}.ofKind(objectapi.Configuration)
			value := make([]byte, size) // its content does not matter, and the versions share it to spare the memory of the test
			object := func(name string, version uint64) objectapi.Event {
				return objectapi.Event{Object: objectapi.Object{Name: name, Version: version, Value: value}}
			}
			list := []objectapi.Event{object(configObject, 1)}
			for n := range others {
				list = append(list, object(fmt.Sprint("other-", n), 1))
			}
			apply := func(u *kindUpdate) {
				t.Helper()
				if _, ok := cached.apply(u); !ok {
					t.Fatalf("the update at %d was not applied", u.position.Revision)
				}
			}
			apply(&kindUpdate{complete: true, position: at(1), events: list})
			for version := uint64(2); version <= versions; version++ {
				list[0] = object(configObject, version)
				u := &kindUpdate{complete: complete, base: at(version - 1), position: at(version), events: list}
				if !complete {
					u.events = list[:1]
				}
				apply(u)
			}
			removed := object("other-0", versions+1)
			removed.Deleted = true
			apply(&kindUpdate{base: at(versions), position: at(versions + 1), events: []objectapi.Event{removed}})
			events, whole := cached.changesSince(at(1))
			sent := 0
			for _, e := range events {
				sent += len(e.Object.Value)
				if e.Object.Name == configObject && e.Object.Version != versions {
					t.Errorf("version %d is kept", e.Object.Version)
				}
			}
			if whole || len(events) != 2 || sent != size {
				t.Errorf("a peer that knows revision 1 gets %d events with %d bytes, complete: %t", len(events), sent, whole)
			}
			kept := 0
			for _, l := range cached.log {
				kept += len(l.event.Object.Value)
			}
			if kept > size {
				t.Errorf("%d bytes are kept for peers", kept)
			}
		})
	}
}
