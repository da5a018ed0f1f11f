package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// lockedBuffer is a buffer to which several tasks write.
type lockedBuffer struct {
	lock sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.text.String()
}

// applyList applies a complete list of objects of a kind to a board.
func applyList(b *board, kind objectapi.Kind, revision uint64, objects ...objectapi.Object) {
	u := kindUpdate{kind: kind, complete: true, position: at(revision), asOf: time.Now()}
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
	if events, _ := b.cache.ofKind(objectapi.Backends).changesSince(at(0)); len(events) != 3 {
		t.Errorf("a peer gets %d objects: %v", len(events), events)
	}
}

// Guards against a feed that reads the same changes again and again because one answer of the store cannot be read, takes
// that for an outage, or lists without a pause while no answer can be read.
func TestFeedGetsPastUnreadableChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newFakeStore()
		store.put(objectapi.Configuration, configObject, fleet.Config{Version: 1})
		store.put(objectapi.Backends, "i-1", fleet.Backend{ID: "i-1", Service: "intake"})
		var log lockedBuffer
		snapshots, b := newTestBoard(t, store)
		b.log = slog.New(slog.NewTextHandler(&log, nil))
		for _, f := range b.source.feeds {
			f.log = b.log
			go func() { _ = f.run(ctx) }() // it ends with the context
		}
		go func() { _ = b.run(ctx) }()         // same
		go func() { _ = b.decoder.run(ctx) }() // same
		time.Sleep(time.Second)
		store.setFailures(map[objectapi.Kind]string{objectapi.Backends: "garbled"})
		store.put(objectapi.Backends, "i-2", fleet.Backend{ID: "i-2", Service: "intake"})
		before := store.calls.Load()
		time.Sleep(10 * time.Second)
		if known := snapshots.Newest().Backends["intake"]; len(known) != 2 {
			t.Errorf("%d backend servers are known, want 2", len(known))
		}
		// Each pause is followed by a list and a watch; the other four feeds make a call in a few seconds.
		if calls, most := store.calls.Load()-before, int64(2*10*time.Second/(maxBackoff/2)+30); calls > most {
			t.Errorf("%d calls in 10 s, want at most %d", calls, most)
		}
		text := log.String()
		if strings.Count(text, "answer of the store cannot be read") != 1 || strings.Contains(text, "store does not answer") {
			t.Errorf("log is\n%s", text)
		}
		store.setFailures(nil)
		store.put(objectapi.Backends, "i-3", fleet.Backend{ID: "i-3", Service: "intake"})
		time.Sleep(3 * time.Second)
		if known := snapshots.Newest().Backends["intake"]; len(known) != 3 {
			t.Errorf("%d backend servers are known, want 3", len(known))
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against the loss of the known objects while neither a list nor a watch can be read.
func TestKnownObjectsStayWhileNoAnswerCanBeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newFakeStore()
		store.put(objectapi.Configuration, configObject, fleet.Config{Version: 1})
		store.put(objectapi.Backends, "i-1", fleet.Backend{ID: "i-1", Service: "intake"})
		snapshots := startBoard(t, ctx, store)
		time.Sleep(time.Second)
		store.setFailures(map[objectapi.Kind]string{objectapi.Backends: "all garbled"})
		store.put(objectapi.Backends, "i-2", fleet.Backend{ID: "i-2", Service: "intake"})
		time.Sleep(10 * time.Second)
		if known := snapshots.Newest().Backends["intake"]; len(known) != 1 {
			t.Errorf("%d backend servers are known, want 1", len(known))
		}
		store.setFailures(nil)
		time.Sleep(2 * time.Second)
		if known := snapshots.Newest().Backends["intake"]; len(known) != 2 {
			t.Errorf("%d backend servers are known after the store can be read again, want 2", len(known))
		}
		cancel()
		synctest.Wait()
	})
}

// fixedInfo is a dialect that reads no metadata of callers.
type fixedInfo struct{ Dialect }

func (fixedInfo) RequestInfo(http.Header) RequestInfo { return RequestInfo{} }

// Guards against a process that ends, or a request that loses its body, because the limits of the configuration are so large
// that a buffer of that size cannot be allocated or a sum overflows.
func TestHugeLimitsOfConfiguration(t *testing.T) {
	body := strings.Repeat("b", 10_000)
	text := "POST /x HTTP/1.1\r\nHost: a.example\r\nX-Long: " + strings.Repeat("h", 3*readBuffer) + "\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n\r\n" + body
	for _, limit := range []int{1 << 20, 1 << 50, math.MaxInt - 1, math.MaxInt} {
		caller, conn := net.Pipe()
		go func() { _, _ = caller.Write([]byte(text)) }() // the reader ends with the test
		limits := func() fleet.Limits { return fleet.Limits{HeaderBytes: limit, BodyBytes: int64(limit)} }
		r := newRequestReader(conn, limits, fixedInfo{}, t.Context(), func(any) {}, newBodyBudget(0), t.Context())
		m, _, err := r.next()
		if request, ok := m.(*incomingRequest); !ok || string(request.request.Body) != body {
			t.Errorf("limit %d: %T, %v", limit, m, err)
		}
		_, _ = caller.Close(), conn.Close() // both ends are only used here
	}
}

// Guards against an instance that keeps its own entry for registered after another writer has replaced it by one that is
// not valid, and against peers that go on with the entry before.
func TestInvalidEntryOfInstanceIsWrittenAgain(t *testing.T) {
	snapshots, b := newTestBoard(t, newFakeStore())
	due := 0
	b.onUnregistered = func() { due++ }
	own := objectapi.Object{Name: "edge-1", Version: 3, Value: []byte(`{"Name":"edge-1","Place":{"Region":"east","Zone":"a"}}`)}
	applyList(b, objectapi.Instances, 3, own)
	if due != 0 || len(snapshots.Newest().Instances) != 1 {
		t.Fatalf("%d writes for a valid entry, %d instances", due, len(snapshots.Newest().Instances))
	}
	applyList(b, objectapi.Instances, 4, objectapi.Object{Name: "edge-1", Version: 4, Value: []byte("[[")})
	if due != 1 || len(snapshots.Newest().Instances) != 0 {
		t.Errorf("%d writes after the entry was replaced, %d instances", due, len(snapshots.Newest().Instances))
	}
}

// Guards against strikes whose time is far in the future, which refuse equal requests after each start of an instance
// and are never removed.
func TestStrikeFromTheFutureIsRemoved(t *testing.T) {
	_, b := newTestBoard(t, newFakeStore())
	applied := 0
	b.onStrike = func(quarantine.Strike, bool) { applied++ }
	strike := func(at time.Time) []byte {
		text, err := json.Marshal(quarantine.Strike{Crash: quarantine.Crash{At: at}})
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	now := time.Now()
	applyList(b, objectapi.Strikes, 5,
		objectapi.Object{Name: "recent", Version: 1, Value: strike(now)},
		objectapi.Object{Name: "ahead", Version: 2, Value: strike(now.Add(time.Second))}, // the clock of another machine
		objectapi.Object{Name: "old", Version: 3, Value: strike(now.Add(-2 * maxStrikeAge))},
		objectapi.Object{Name: "future", Version: 4, Value: strike(now.AddDate(5000, 0, 0))})
	if applied != 2 {
		t.Errorf("%d strikes are applied, want 2", applied)
	}
	if removed := b.fleetEntries(now).strikes; !slices.Equal(removed, []string{"future", "old"}) {
		t.Errorf("strikes %q are expired", removed)
	}
}

// applyReply applies the reply of a peer to a request that was sent some time ago.
func applyReply(b *board, now time.Time, sentAgo time.Duration, reply *peerpb.NewsReply) {
	known := map[objectapi.Kind]objectapi.Position{}
	for _, kind := range followedKinds {
		known[kind] = b.cache.ofKind(kind).position
	}
	b.source.handleResult(now, newsResult{address: "10.0.0.2:7", sentAt: now.Add(-sentAgo), known: known, reply: reply})
}

// Guards against a peer whose news claims to come from the future: the instance did not read the store until then.
func TestNewsIsNeverNewerThanItsArrival(t *testing.T) {
	_, b := newTestBoard(t, newFakeStore())
	now := time.Now()
	for _, held := range []uint32{0, 20, 5000, math.MaxUint32} {
		applyReply(b, now, 50*time.Millisecond, &peerpb.NewsReply{HeldMs: held, Kinds: []*peerpb.KindNews{
			{Kind: string(objectapi.Backends), Revision: 5, Whole: true, AgeMs: 1, Reader: "edge-2"}}})
		if age := b.source.dataAge(now); age < 0 {
			t.Fatalf("after a request that was held for %d ms, the data is %s old", held, age)
		}
	}
}

// Guards against kinds that no instance follows, which filled the memory with each request or reply of a peer that names
// a new one.
func TestUnknownKindsOfPeersAreIgnored(t *testing.T) {
	_, b := newTestBoard(t, newFakeStore())
	now := time.Now()
	before := len(b.cache)
	for i := range 100 {
		kind := "kind-" + strconv.Itoa(i)
		applyReply(b, now, 0, &peerpb.NewsReply{Kinds: []*peerpb.KindNews{{Kind: kind, Revision: 5, Whole: true,
			Objects: []*peerpb.NewsObject{{Name: "x", Version: 1}}}}})
		b.source.handleRequest(now, newsRequest{request: &peerpb.NewsRequest{Known: []*peerpb.KnownKind{{Kind: "more-" + kind}}},
			reply: make(chan *peerpb.NewsReply, 1)})
	}
	if len(b.cache) > before+len(followedKinds) {
		t.Errorf("%d kinds are kept", len(b.cache))
	}
}

// Guards against requests of peers that are held for weeks: each is checked with each change.
func TestHeldRequestsAreAnsweredInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, b := newTestBoard(t, newFakeStore())
		reply := make(chan *peerpb.NewsReply, 1)
		b.source.handleRequest(time.Now(), newsRequest{request: &peerpb.NewsRequest{WaitMs: math.MaxUint32}, reply: reply})
		time.Sleep(time.Minute)
		b.source.answerHeld(time.Now())
		if len(reply) == 0 || len(b.source.heldRequests) > 0 {
			t.Errorf("%d requests are held after a minute", len(b.source.heldRequests))
		}
	})
}

// Guards against an instance that follows nothing any more, and takes its data for current, after a peer or the store named
// a revision that the store has not reached.
func TestRevisionBeyondStoreIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newFakeStore()
		store.put(objectapi.Configuration, configObject, fleet.Config{Version: 1})
		store.put(objectapi.Backends, "i-1", fleet.Backend{ID: "i-1", Service: "intake"})
		snapshots, b := newTestBoard(t, store)
		applyReply(b, time.Now(), 0, &peerpb.NewsReply{Kinds: []*peerpb.KindNews{
			{Kind: string(objectapi.Backends), Revision: math.MaxUint64, Whole: true, AgeMs: 1, Reader: "edge-2",
				Objects: []*peerpb.NewsObject{{Name: "i-0", Version: 1, Value: []byte(`{"ID":"i-0","Service":"intake"}`)}}}}})
		for _, f := range b.source.feeds {
			go func() { _ = f.run(ctx) }() // it ends with the context
		}
		go func() { _ = b.run(ctx) }()         // same
		go func() { _ = b.decoder.run(ctx) }() // same
		time.Sleep(5 * time.Second)
		store.put(objectapi.Backends, "i-2", fleet.Backend{ID: "i-2", Service: "intake"})
		time.Sleep(5 * time.Second)
		var ids []string
		for _, entry := range snapshots.Newest().Backends["intake"] {
			ids = append(ids, entry.ID)
		}
		if !slices.Equal(ids, []string{"i-1", "i-2"}) {
			t.Errorf("backend servers %q are known", ids)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a list that was overtaken by newer news of a peer and takes the known objects back.
func TestOvertakenListChangesNothing(t *testing.T) {
	_, b := newTestBoard(t, newFakeStore())
	applyList(b, objectapi.Backends, 9, objectapi.Object{Name: "i-1", Version: 8, Value: []byte(`{"ID":"i-1"}`)})
	applyList(b, objectapi.Backends, 7)
	if cached := b.cache.ofKind(objectapi.Backends); cached.position.Revision != 9 || len(cached.objects) != 1 {
		t.Errorf("revision %d with %d objects is known", cached.position.Revision, len(cached.objects))
	}
}

// Guards against a kind that is too large for one reply and never sent, so that the peer asks again without a pause: the
// kinds before it have no changes.
func TestLargeKindIsSentAlone(t *testing.T) {
	_, b := newTestBoard(t, newFakeStore())
	applyList(b, objectapi.Configuration, 5)
	random := make([]byte, maxNewsBytes+1)
	for i := range random {
		random[i] = byte(rand.Uint32())
	}
	applyList(b, objectapi.Backends, 9, objectapi.Object{Name: "odd", Version: 8, Value: random})
	reply := make(chan *peerpb.NewsReply, 1)
	b.source.handleRequest(time.Now(), newsRequest{reply: reply, request: &peerpb.NewsRequest{Packed: true, WaitMs: 1000,
		Known: []*peerpb.KnownKind{{Kind: string(objectapi.Configuration), Revision: 5}, {Kind: string(objectapi.Backends), Revision: 3}}}})
	var kinds []string
	for _, k := range (<-reply).GetKinds() {
		kinds = append(kinds, k.GetKind())
	}
	if !slices.Contains(kinds, string(objectapi.Backends)) {
		t.Errorf("the peer gets the kinds %q", kinds)
	}
}

// Guards against a list of a peer that is small and takes much memory when it is decoded: an empty object takes two bytes
// in the list and about a hundred in memory.
func TestListOfTooManyObjectsIsRejected(t *testing.T) {
	for _, count := range []int{maxUnpackedObjects, maxUnpackedObjects + 1} {
		objects := make([]*peerpb.NewsObject, count)
		for i := range objects {
			objects[i] = &peerpb.NewsObject{}
		}
		packed, err := pack(objects)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := unpack(packed); (err == nil) != (count <= maxUnpackedObjects) || err == nil && len(got) != count {
			t.Errorf("%d objects are decoded as %d, %v", count, len(got), err)
		}
	}
}
