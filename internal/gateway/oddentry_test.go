package gateway

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// applyList applies a complete list of objects of a kind to a board.
func applyList(b *board, kind objectapi.Kind, revision uint64, objects ...objectapi.Object) {
	u := kindUpdate{kind: kind, complete: true, revision: revision, asOf: time.Now()}
	for _, o := range objects {
		o.Kind = kind
		u.events = append(u.events, objectapi.Event{Object: o})
	}
	b.applyUpdate(time.Now(), u)
}

// Guards against entries without a readable name or revision that enter the snapshot or the updates for peers, are not
// logged and counted, or are logged again with each list.
func TestUnreadableEntriesAreLoggedAndCountedOnce(t *testing.T) {
	snapshots, b := newTestBoard(t, newFakeStore())
	var log bytes.Buffer
	b.log = slog.New(slog.NewTextHandler(&log, nil))
	invalid := 0
	b.onInvalid = func() { invalid++ }
	valid := objectapi.Object{Name: "i-1", Version: 3, Value: []byte(`{"ID":"i-1","Service":"intake"}`)}
	for revision := range uint64(3) {
		applyList(b, objectapi.Backends, revision+10, objectapi.Object{}, valid, objectapi.Object{Name: "odd"},
			objectapi.Object{Name: "odder", Version: 4, Value: []byte("[[")})
	}
	if known := snapshots.Newest().Backends["intake"]; len(known) != 1 || known[0].ID != "i-1" {
		t.Errorf("known backend servers are %v", known)
	}
	if lines := strings.Count(log.String(), "object is not valid"); invalid != 3 || lines != 3 {
		t.Errorf("3 invalid objects are counted %d times and logged in %d lines:\n%s", invalid, lines, log.String())
	}
	if events, _ := b.cache.ofKind(objectapi.Backends).changesSince(0); len(events) != 3 {
		t.Errorf("a peer gets %d objects: %v", len(events), events)
	}
}
