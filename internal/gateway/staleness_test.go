package gateway

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/dispatch"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// Guards against an instance whose configuration is old without a line that says so, why, and what its feed waits for, and
// against such a line at each check.
func TestOldConfigurationIsLogged(t *testing.T) {
	for _, c := range []struct {
		failing []objectapi.Kind
		reason  string
	}{
		{followedKinds, "store does not answer"},
		{[]objectapi.Kind{objectapi.Configuration}, "store answers calls for other kinds only"},
	} {
		t.Run(c.reason, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFeedTest(t)
				var out bytes.Buffer
				f.board.log = slog.New(slog.NewJSONHandler(&out, nil))
				stale := 0
				f.board.onStale = func() { stale++ }
				f.start(ctx)
				time.Sleep(time.Second)
				failures := map[objectapi.Kind]string{}
				for _, kind := range c.failing {
					failures[kind] = "silent"
				}
				f.store.setFailures(failures)
				f.store.put(objectapi.Configuration, configObject, fleet.Config{Version: 2}) // answers the call that waits
				time.Sleep(500 * time.Millisecond)
				f.store.put(objectapi.Configuration, configObject, fleet.Config{Version: 3})
				time.Sleep(12 * time.Second)
				f.store.setFailures(nil)
				time.Sleep(2 * time.Second)
				cancel()
				synctest.Wait()
				lines := strings.Count(out.String(), "configuration or evacuations are older than they may be")
				if lines < 2 || lines > 3 || stale != 1 {
					t.Errorf("%d lines in 10 s and %d times, want one each 5 s and one time", lines, stale)
				}
				for _, part := range []string{`"reason":"` + c.reason + `"`, `"config_feed":"`, `"config_from":"edge-1"`, `"source":"reading"`,
					"configuration and evacuations are recent again"} {
					if !strings.Contains(out.String(), part) {
						t.Errorf("the log does not contain %s:\n%s", part, out.String())
					}
				}
			})
		})
	}
}

// Guards against a 404 for a route that a confirmed configuration may have added, and against a refusal while the configuration
// is recent.
func TestUnknownRouteOfOldConfigurationIsNotDenied(t *testing.T) {
	for age, want := range map[time.Duration]int{1900 * time.Millisecond: http.StatusNotFound, 2100 * time.Millisecond: http.StatusServiceUnavailable} {
		synctest.Test(t, func(t *testing.T) {
			_, b := newTestBoard(t, newFakeStore())
			now := time.Now()
			b.config = &fleet.Config{Version: 1}
			b.routes, b.configAsOf = dispatch.NewTable(b.config), now
			b.backends["i-1"] = &fleet.Backend{ID: "i-1", Service: "s"}
			b.publish(true)
			c := newCallerTest(t)
			c.server.requests.snapshots = b.snapshots
			f := c.server.requests.newForward(t.Context(), &incomingRequest{host: "a.example", receivedAt: now,
				request: &call.Request{ID: "1", Method: http.MethodGet, Path: "/new/x"}, callerTimeout: time.Second})
			time.Sleep(age)
			if reply, ok := f.resolve(b.snapshots.Newest()); ok || reply.status != want {
				t.Errorf("at an age of %s the answer is %d, want %d", age, reply.status, want)
			}
		})
	}
}

// Guards against a suspension that ages what the instance knows, but not what its requests see.
func TestSuspensionAgesPublishedConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, b := newTestBoard(t, newFakeStore())
		var total time.Duration
		b.totalSuspension, b.countedSuspension = func() time.Duration { return total }, 0
		b.configAsOf = time.Now()
		b.publish(true)
		total = 3 * time.Second
		b.applySuspension()
		if age := time.Since(b.snapshots.Newest().ConfigAsOf); age != total {
			t.Errorf("the published configuration is %s old after a suspension of %s", age, total)
		}
	})
}

// Guards against an age of more than 49 days that looks like a recent one to peers.
func TestAgeForPeersDoesNotOverflow(t *testing.T) {
	_, b := newTestBoard(t, newFakeStore())
	now := time.Now()
	for _, kind := range followedKinds {
		b.applyUpdate(now, kindUpdate{kind: kind, complete: true, position: at(3), asOf: now.Add(-50 * 24 * time.Hour)})
	}
	reply := make(chan *peerpb.NewsReply, 1)
	b.source.handleRequest(now, newsRequest{request: &peerpb.NewsRequest{Known: []*peerpb.KnownKind{{Kind: string(objectapi.Configuration)}}},
		reply: reply})
	if age := (<-reply).GetKinds()[0].GetAgeMs(); time.Duration(age)*time.Millisecond < 24*time.Hour {
		t.Errorf("peers are told an age of %d ms", age)
	}
}

// Guards against peers whose configuration becomes too old for them although the reader has just listed it again: they would
// all read the store.
func TestListOfRareKindIsPassedOn(t *testing.T) {
	_, b := newTestBoard(t, newFakeStore())
	now := time.Now()
	known := &peerpb.NewsRequest{WaitMs: 1000}
	for _, kind := range followedKinds {
		b.applyUpdate(now, kindUpdate{kind: kind, complete: true, position: at(3), asOf: now})
		known.Known = append(known.Known, &peerpb.KnownKind{Kind: string(kind), Revision: 3})
	}
	reply := make(chan *peerpb.NewsReply, 1)
	b.source.handleRequest(now, newsRequest{request: known, reply: reply})
	b.source.answerHeld(now)
	if len(reply) > 0 {
		t.Fatal("a request is answered although nothing was read since")
	}
	listed := now.Add(300 * time.Millisecond)
	b.applyUpdate(listed, kindUpdate{kind: objectapi.Configuration, complete: true, position: at(4), asOf: listed})
	b.source.answerHeld(listed)
	if len(reply) == 0 {
		t.Error("a request waits although the configuration has been read since")
	}
}
