package member

import (
	"cmp"
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
)

const (
	// maxKeptNotices bounds the notices in memory; the oldest is evicted.
	maxKeptNotices = 1024
	// noticePassedOn is how long an instance gossips a notice: two messages to another region.
	noticePassedOn = 4 * time.Second
	// noticeKept is how long a notice is kept to detect duplicates. None arrive after a few times noticePassedOn.
	noticeKept = time.Minute
)

type noticeKey struct{ origin, service, server string }

type keptNotice struct {
	notice Notice
	heard  time.Time
	sends  int
}

// noticeBoard stores the latest notice of each origin about each server and selects those to gossip.
type noticeBoard struct {
	kept map[noticeKey]*keptNotice
}

// add stores a notice and reports whether it is newer than the previous one of its origin about the server.
func (b *noticeBoard) add(now time.Time, n Notice) bool {
	key := noticeKey{n.Origin, n.Service, n.Server}
	if known := b.kept[key]; known != nil && known.notice.Sequence >= n.Sequence {
		return false
	}
	b.kept[key] = &keptNotice{notice: n, heard: now}
	if len(b.kept) > maxKeptNotices {
		b.dropOldest()
	}
	return true
}

func (b *noticeBoard) dropOldest() {
	var oldest noticeKey
	var heard time.Time
	for key, k := range b.kept {
		if heard.IsZero() || k.heard.Before(heard) {
			oldest, heard = key, k.heard
		}
	}
	delete(b.kept, oldest)
}

// says reports whether the latest notice about the server, from any origin, has the same content.
func (b *noticeBoard) says(service string, n balance.Notice) bool {
	var latest *keptNotice
	for _, k := range b.kept {
		about := k.notice.Service == service && k.notice.Server == n.Server
		if about && (latest == nil || k.heard.After(latest.heard)) {
			latest = k
		}
	}
	return latest != nil && latest.notice.Notice == n
}

// next selects the notices for one message, preferring those that were sent least often, and counts them as sent. The
// notices of one origin are in the order of their sequence.
func (b *noticeBoard) next(now time.Time) []Notice {
	var due []*keptNotice
	for _, k := range b.kept {
		if now.Sub(k.heard) < noticePassedOn {
			due = append(due, k)
		}
	}
	slices.SortFunc(due, func(x, y *keptNotice) int {
		return cmp.Or(cmp.Compare(x.sends, y.sends), compareNotices(x.notice, y.notice))
	})
	due = due[:min(len(due), MaxNotices)]
	var list []Notice
	for _, k := range due {
		k.sends++
		list = append(list, k.notice)
	}
	slices.SortFunc(list, compareNotices)
	return list
}

func compareNotices(x, y Notice) int {
	return cmp.Or(cmp.Compare(x.Origin, y.Origin), cmp.Compare(x.Sequence, y.Sequence))
}

// forget drops notices that are no longer needed to detect duplicates.
func (b *noticeBoard) forget(now time.Time) {
	for key, k := range b.kept {
		if now.Sub(k.heard) > noticeKept {
			delete(b.kept, key)
		}
	}
}
