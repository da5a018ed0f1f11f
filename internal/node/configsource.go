package node

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

const (
	// fetchDelay is how long an instance whose watches work waits for them before it asks a peer whose configuration
	// differs. A change reaches the watches of all instances within this time when the object API answers.
	fetchDelay = 2 * time.Second
	// maxDifferences bounds the peers that are remembered; the next message of a peer adds it again.
	maxDifferences = 1024
)

// sources is what the configuration task knows of where documents come from: the object API by kind, and peers whose
// configuration differs.
type sources struct {
	lists  map[objectapi.Kind]bool
	broken map[objectapi.Kind]error
	// matched is true once a peer had the same configuration in force: then it is complete without the object API.
	matched     bool
	differences map[string]difference
}

type difference struct {
	theirs, ours uint64
	since        time.Time
	// fruitless is true after a fetch brought nothing new.
	fruitless bool
}

func newSources() *sources {
	return &sources{lists: map[objectapi.Kind]bool{}, broken: map[objectapi.Kind]error{}, differences: map[string]difference{}}
}

func (s *sources) listed(kind objectapi.Kind)          { s.lists[kind] = true }
func (s *sources) up(kind objectapi.Kind)              { delete(s.broken, kind) }
func (s *sources) down(kind objectapi.Kind, err error) { s.broken[kind] = err }

// complete reports whether every document that the object API or a peer had was seen.
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

// differs notes the digest of a peer and reports whether to ask it for documents now.
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

// fruitless notes that a peer had nothing new, so that it is not asked again before one of the two changes.
func (s *sources) fruitless(peer string, theirs, ours uint64) {
	s.differences[peer] = difference{theirs: theirs, ours: ours, fruitless: true}
}
