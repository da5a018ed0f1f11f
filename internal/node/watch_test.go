package node

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// garbledAPI is an object API whose change at version 5 cannot be read in a watch.
type garbledAPI struct{ objectapi.API }

func (garbledAPI) List(context.Context, objectapi.Kind) ([]objectapi.Object, uint64, error) {
	version := uint64(4)
	if time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)) > time.Second {
		version = 6
	}
	return nil, version, nil
}

func (garbledAPI) Watch(_ context.Context, _ objectapi.Kind, after uint64) (objectapi.Watch, error) {
	return garbledWatch{after: after}, nil
}

type garbledWatch struct{ after uint64 }

func (w garbledWatch) Next(ctx context.Context) (objectapi.Event, error) {
	if !task.Pause(ctx, time.Second) {
		return objectapi.Event{}, ctx.Err()
	}
	if w.after < 5 {
		return objectapi.Event{}, fault.New(fault.Invalid, "", "garbled")
	}
	return objectapi.Event{Object: objectapi.Object{Kind: objectapi.Services, Name: "a", Version: 7}}, nil
}

func (garbledWatch) Close() error { return nil }

// Guards against a watcher that resumes before a change that cannot be read, for good, and takes it for an outage.
func TestWatcherGetsPastUnreadableChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		inbox := task.NewMailbox[any]("test", 64)
		var log bytes.Buffer
		newWatcher(garbledAPI{}, objectapi.Services, inbox, slog.New(slog.NewTextHandler(&log, nil))).run(ctx)
		var changes int
		for inbox.Len() > 0 {
			if e, ok := (<-inbox.C()).(changeEvent); ok && e.event.Object.Version == 7 {
				changes++
			}
		}
		if changes == 0 {
			t.Error("the change after the one that cannot be read was never reported")
		}
		if text := log.String(); strings.Contains(text, "does not answer") || !strings.Contains(text, "cannot be read") {
			t.Errorf("log is\n%s", text)
		}
	})
}

// forgetfulAPI is an object API that drops its history after a second: a watch of services fails, and those of other kinds hear
// nothing.
type forgetfulAPI struct {
	objectapi.API
	lists chan objectapi.Kind
}

func (a forgetfulAPI) List(_ context.Context, kind objectapi.Kind) ([]objectapi.Object, uint64, error) {
	a.lists <- kind
	return nil, 4, nil
}

func (forgetfulAPI) Watch(_ context.Context, kind objectapi.Kind, _ uint64) (objectapi.Watch, error) {
	return forgetfulWatch{kind: kind}, nil
}

type forgetfulWatch struct{ kind objectapi.Kind }

func (w forgetfulWatch) Next(ctx context.Context) (objectapi.Event, error) {
	if w.kind == objectapi.Services && task.Pause(ctx, time.Second) {
		return objectapi.Event{}, fault.New(fault.TooOld, "", "forgotten")
	}
	<-ctx.Done()
	return objectapi.Event{}, ctx.Err()
}

func (forgetfulWatch) Close() error { return nil }

// Guards against documents that stay old for a minute because the object API dropped its history while they changed, and only
// the watch of another kind heard of it.
func TestLostHistoryOfOneKindPutsOthersInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		api := forgetfulAPI{lists: make(chan objectapi.Kind, 64)}
		c, err := NewConfig(ConfigOptions{API: api, Metrics: metrics.NewRegistry(), Log: slog.New(slog.DiscardHandler),
			Apply: func(context.Context, *Documents) error { return nil }, PublishVersion: func(member.ConfigVersion) {},
			ApplyFleet: func(*document.Fleet) {}, OnReady: func() {}})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { _ = c.Run(ctx); close(ended) }()
		time.Sleep(1500 * time.Millisecond)
		cancel()
		<-ended
		lists := map[objectapi.Kind]int{}
		for len(api.lists) > 0 {
			lists[<-api.lists]++
		}
		for _, kind := range configKinds {
			if lists[kind] != 2 {
				t.Errorf("%s are listed %d times, want 2", kind, lists[kind])
			}
		}
	})
}

// deafAPI is an object API whose first watch of each kind reports nothing. Version 7 of a document is written after a second.
type deafAPI struct {
	objectapi.API
	watches chan objectapi.Kind
}

func (deafAPI) List(context.Context, objectapi.Kind) ([]objectapi.Object, uint64, error) {
	return nil, 4, nil
}

func (a deafAPI) Watch(_ context.Context, kind objectapi.Kind, after uint64) (objectapi.Watch, error) {
	a.watches <- kind
	return deafWatch{deaf: len(a.watches) == 1, after: after}, nil
}

type deafWatch struct {
	deaf  bool
	after uint64
}

func (w deafWatch) Next(ctx context.Context) (objectapi.Event, error) {
	if w.deaf || w.after >= 7 || !task.Pause(ctx, time.Millisecond) {
		<-ctx.Done()
		return objectapi.Event{}, ctx.Err()
	}
	return objectapi.Event{Object: objectapi.Object{Kind: objectapi.Services, Name: "a", Version: 7}}, nil
}

func (deafWatch) Close() error { return nil }

// Guards against a document that comes into force a minute after its confirmation, because a watch has broken silently and no
// peer knows the document.
func TestSilentWatchIsReopenedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 9*time.Second)
		defer cancel()
		inbox := task.NewMailbox[any]("test", 64)
		newWatcher(deafAPI{watches: make(chan objectapi.Kind, 64)}, objectapi.Services, inbox, slog.New(slog.DiscardHandler)).run(ctx)
		for inbox.Len() > 0 {
			if e, ok := (<-inbox.C()).(changeEvent); ok && e.event.Object.Version == 7 {
				return
			}
		}
		t.Error("the change was not reported within 9 s")
	})
}

// Guards against an old configuration without a line that says so, against one that counts as recent since a peer has the same,
// and against a line at each check.
func TestOldConfigurationIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		c, err := NewConfig(ConfigOptions{Metrics: metrics.NewRegistry(), Log: slog.New(slog.NewTextHandler(&log, nil))})
		if err != nil {
			t.Fatal(err)
		}
		for second := range 20 {
			c.handle(t.Context(), readableEvent{kind: objectapi.Services, asOf: time.Now()})
			c.handle(t.Context(), readableEvent{kind: objectapi.Backends, asOf: time.Now()})
			if second < 2 {
				c.handle(t.Context(), readableEvent{kind: objectapi.Fleet, asOf: time.Now()})
			}
			c.handle(t.Context(), peerVersion{peer: "edge-2", version: member.ConfigVersion{Digest: c.set.Digest()}})
			time.Sleep(time.Second)
			c.age.check(time.Now())
		}
		if n := strings.Count(log.String(), "configuration is older than it may be"); n != 1 || c.overdue.Count() != 1 ||
			!strings.Contains(log.String(), "kind=fleet") || c.ageGauge.Value() != 19000 {
			t.Errorf("%d lines, %d times, age %d ms:\n%s", n, c.overdue.Count(), c.ageGauge.Value(), log.String())
		}
	})
}
