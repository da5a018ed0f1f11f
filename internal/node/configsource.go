package node

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

const (
	// fetchDelay is how long the configuration of a peer must differ before documents are fetched from it, while all watches
	// work. A change reaches the watches of all instances within this time if the object API is available.
	fetchDelay = 2 * time.Second
	// maxDifferences bounds the number of differences that are stored. When it is reached, all are deleted; the next message
	// of a peer adds its difference again.
	maxDifferences = 1024
)

// sources tracks the sources of documents: the lists and watches of the object API by kind, and the peers whose
// configuration differs.
type sources struct {
	listedKinds map[objectapi.Kind]bool
	watchErrors map[objectapi.Kind]error
	// matched is true once a peer had the same configuration in force. The configuration then counts as complete, even
	// without the object API.
	matched     bool
	differences map[string]difference
}

// difference records that the configuration digest of a peer differs from that of this instance.
type difference struct {
	peerDigest, ownDigest uint64
	since                 time.Time
	// nothingNewer is true after a fetch without newer documents.
	nothingNewer bool
}

func newSources() *sources {
	return &sources{listedKinds: map[objectapi.Kind]bool{}, watchErrors: map[objectapi.Kind]error{}, differences: map[string]difference{}}
}

func (s *sources) setListed(kind objectapi.Kind)                { s.listedKinds[kind] = true }
func (s *sources) setReadable(kind objectapi.Kind)              { delete(s.watchErrors, kind) }
func (s *sources) setUnreadable(kind objectapi.Kind, err error) { s.watchErrors[kind] = err }

// complete reports whether the configuration is complete: it was equal to that of a peer, or all kinds were listed.
func (s *sources) complete() bool { return s.matched || len(s.listedKinds) == len(configKinds) }

func (s *sources) readErrors() map[string]string {
	if len(s.watchErrors) == 0 {
		return nil
	}
	list := make(map[string]string, len(s.watchErrors))
	for kind, err := range s.watchErrors {
		list[string(kind)] = err.Error()
	}
	return list
}

// shouldFetch records the digest of a peer and reports whether to fetch documents from it now.
func (s *sources) shouldFetch(now time.Time, peer string, peerDigest, ownDigest uint64) bool {
	if peerDigest == ownDigest {
		s.matched = true
		delete(s.differences, peer)
		return false
	}
	d, known := s.differences[peer]
	if !known || d.peerDigest != peerDigest || d.ownDigest != ownDigest {
		d = difference{peerDigest: peerDigest, ownDigest: ownDigest, since: now}
		if len(s.differences) >= maxDifferences {
			clear(s.differences)
		}
		s.differences[peer] = d
	}
	watched := len(s.watchErrors) == 0 && len(s.listedKinds) == len(configKinds)
	return !d.nothingNewer && (!watched || now.Sub(d.since) >= fetchDelay)
}

// markNothingNewer records that a fetch returned no newer documents. The peer is not asked again until one of the digests
// changes.
func (s *sources) markNothingNewer(peer string, peerDigest, ownDigest uint64) {
	s.differences[peer] = difference{peerDigest: peerDigest, ownDigest: ownDigest, nothingNewer: true}
}
