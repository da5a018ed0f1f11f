package member

import (
	"cmp"
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
)

const (
	// maxStoredNotices bounds the notices in memory; the oldest is evicted.
	maxStoredNotices = 1024
	// noticeGossipTime is how long an instance gossips a notice: two messages to another region.
	noticeGossipTime = 4 * time.Second
	// noticeRetention is how long a notice is kept to detect duplicates. None arrive after a few times noticeGossipTime.
	noticeRetention = time.Minute
)

type noticeKey struct{ origin, service, server string }

type storedNotice struct {
	notice     Notice
	receivedAt time.Time
	sendCount  int
}

// noticeStore stores the latest notice of each origin about each server and selects those to gossip.
type noticeStore struct {
	notices map[noticeKey]*storedNotice
}

// add stores a notice and reports whether it is newer than the previous one of its origin about the server.
func (s *noticeStore) add(now time.Time, n Notice) bool {
	key := noticeKey{n.Origin, n.Service, n.Server}
	if known := s.notices[key]; known != nil && known.notice.Sequence >= n.Sequence {
		return false
	}
	s.notices[key] = &storedNotice{notice: n, receivedAt: now}
	if len(s.notices) > maxStoredNotices {
		s.dropOldest()
	}
	return true
}

func (s *noticeStore) dropOldest() {
	var oldest noticeKey
	var oldestReceivedAt time.Time
	for key, stored := range s.notices {
		if oldestReceivedAt.IsZero() || stored.receivedAt.Before(oldestReceivedAt) {
			oldest, oldestReceivedAt = key, stored.receivedAt
		}
	}
	delete(s.notices, oldest)
}

// alreadyReported reports whether the latest notice about the server, from any origin, has the same content.
func (s *noticeStore) alreadyReported(service string, n balance.Notice) bool {
	var latest *storedNotice
	for _, stored := range s.notices {
		sameServer := stored.notice.Service == service && stored.notice.Server == n.Server
		if sameServer && (latest == nil || stored.receivedAt.After(latest.receivedAt)) {
			latest = stored
		}
	}
	return latest != nil && latest.notice.Notice == n
}

// nextBatch selects the notices for one message, preferring those that were sent least often, and counts them as sent.
// The notices of one origin are in the order of their sequence.
func (s *noticeStore) nextBatch(now time.Time) []Notice {
	var due []*storedNotice
	for _, stored := range s.notices {
		if now.Sub(stored.receivedAt) < noticeGossipTime {
			due = append(due, stored)
		}
	}
	slices.SortFunc(due, func(x, y *storedNotice) int {
		return cmp.Or(cmp.Compare(x.sendCount, y.sendCount), compareNotices(x.notice, y.notice))
	})
	due = due[:min(len(due), MaxNotices)]
	var list []Notice
	for _, stored := range due {
		stored.sendCount++
		list = append(list, stored.notice)
	}
	slices.SortFunc(list, compareNotices)
	return list
}

func compareNotices(x, y Notice) int {
	return cmp.Or(cmp.Compare(x.Origin, y.Origin), cmp.Compare(x.Sequence, y.Sequence))
}

// removeExpired drops notices that are no longer needed to detect duplicates.
func (s *noticeStore) removeExpired(now time.Time) {
	for key, stored := range s.notices {
		if now.Sub(stored.receivedAt) > noticeRetention {
			delete(s.notices, key)
		}
	}
}
