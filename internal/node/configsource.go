package node

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

const (
	// fetchDelay is how long a difference to a peer must last before documents are fetched from it, while all watches
	// work. A change reaches the watches of all instances within this time if the object API is available.
	fetchDelay = 2 * time.Second
	// maxDifferences bounds the number of differences that are stored. The next message of a peer adds its difference again.
	maxDifferences = 1024
)

// sources tracks the sources of documents: the lists and watches of the object API by kind, and the peers whose
// configuration differs.
type sources struct {
	lists  map[objectapi.Kind]bool
	broken map[objectapi.Kind]error
	// matched is true once a peer had the same configuration in force. The configuration then counts as complete, even
	// without the object API.
	matched     bool
	differences map[string]difference
}

// difference is a difference between the configuration digests of a peer and this instance.
type difference struct {
	theirs, ours uint64
	since        time.Time
	// fruitless is true after a fetch without newer documents.
	fruitless bool
}

func newSources() *sources {
	return &sources{lists: map[objectapi.Kind]bool{}, broken: map[objectapi.Kind]error{}, differences: map[string]difference{}}
}

func (s *sources) listed(kind objectapi.Kind)          { s.lists[kind] = true }
func (s *sources) up(kind objectapi.Kind)              { delete(s.broken, kind) }
func (s *sources) down(kind objectapi.Kind, err error) { s.broken[kind] = err }

// complete reports whether all documents were received: those of a peer, or the lists of all kinds.
func (s *sources) complete() bool { return s.matched || len(s.lists) == len(configKinds) }

func (s *sources) unreadable() map[string]string {
	if len(s.broken) == 0 {
		return nil
	}
	list := make(map[string]string, len(s.broken))
	for kind, err := range s.broken {
		list[string(kind)] = err.Error()
	}
	return list
}

// differs records the digest of a peer and reports whether to fetch documents from it now.
func (s *sources) differs(now time.Time, peer string, theirs, ours uint64) bool {
	if theirs == ours {
		s.matched = true
		delete(s.differences, peer)
		return false
	}
	d, known := s.differences[peer]
	if !known || d.theirs != theirs || d.ours != ours {
		d = difference{theirs: theirs, ours: ours, since: now}
		if len(s.differences) >= maxDifferences {
			clear(s.differences)
		}
		s.differences[peer] = d
	}
	watched := len(s.broken) == 0 && len(s.lists) == len(configKinds)
	return !d.fruitless && (!watched || now.Sub(d.since) >= fetchDelay)
}

// fruitless records that a fetch returned no newer documents. The peer is not asked again until one of the digests
// changes.
func (s *sources) fruitless(peer string, theirs, ours uint64) {
	s.differences[peer] = difference{theirs: theirs, ours: ours, fruitless: true}
}
