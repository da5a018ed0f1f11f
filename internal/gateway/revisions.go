package gateway

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// The feed of backend servers is answered several times in the wait of a call for rare changes. Its answers carry the revision
// of the whole store. As long as all revisions are known to be changes of some kind, a rare kind is known to be current. An
// unknown revision may be a change that a waiting call has not heard of.

const (
	// missedChangeDelay is how long a waiting call may take to report a change that the answer to another call shows.
	missedChangeDelay = 200 * time.Millisecond
	// missedChangeRetry is the time until the objects are listed once more, longer than a call may take.
	missedChangeRetry = time.Second
)

// rareKinds are the kinds of objects that change rarely and whose changes have to take effect at once.
var rareKinds = []objectapi.Kind{objectapi.Configuration, objectapi.Evacuations}

// missedChange is the suspicion that a change of a kind has been missed.
type missedChange struct {
	// revision is the revision of the store that no known change explains.
	revision uint64
	// listAt is when the objects are listed.
	listAt time.Time
}

// recordRevisions records what an answer of the store shows about all kinds. It is of the era that the board knows.
func (b *board) recordRevisions(now time.Time, u *kindUpdate) {
	refreshed := false
	for _, kind := range rareKinds {
		b.revisions.Known(string(kind), b.cache.ofKind(kind).revisionIn(u.position.Era))
		if !b.revisions.Covers(string(kind), u.position.Revision) {
			// Changes of servers up to this revision may not be known yet, unless this is the feed of servers.
			if _, suspected := b.missedChanges[kind]; !suspected && u.kind == objectapi.Backends {
				b.missedChanges[kind] = missedChange{revision: u.position.Revision, listAt: now.Add(missedChangeDelay)}
			}
			continue
		}
		delete(b.missedChanges, kind)
		b.cache.ofKind(kind).advance(u.position) // the kind is known, since it is covered
		if b.asOf[kind].Before(u.asOf) {
			b.asOf[kind], b.readBy[kind] = u.asOf, u.reader
			refreshed = true
		}
	}
	if refreshed {
		if b.decoding == (objectapi.Position{}) {
			b.configAsOf = b.asOf[objectapi.Configuration]
		}
		b.publish(false)
	}
}

// listMissedChanges lists the kinds whose changes are suspected to have been missed, while this instance reads the store.
func (b *board) listMissedChanges(now time.Time) {
	for kind, m := range b.missedChanges {
		switch {
		case !b.source.machine.In("reading") || b.revisions.Covers(string(kind), m.revision):
			delete(b.missedChanges, kind)
		case !now.Before(m.listAt):
			b.log.Info("store has a revision that no known change explains", "kind", string(kind), "revision", m.revision,
				"known", b.cache.ofKind(kind).position.Revision)
			b.source.feeds[kind].listAgain("unknown revision of the store")
			b.missedChanges[kind] = missedChange{revision: m.revision, listAt: now.Add(missedChangeRetry)}
		}
	}
}
