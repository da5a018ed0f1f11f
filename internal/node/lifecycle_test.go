package node_test

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/node"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// lifecycleRun is a running lifecycle task with the states that it published to the fleet.
type lifecycleRun struct {
	*node.Lifecycle
	publishedStates []member.State
	ended           chan error
	startedAt       time.Time
}

func startLifecycle(t *testing.T, stages ...node.Stage) *lifecycleRun {
	l := &lifecycleRun{ended: make(chan error, 1), startedAt: time.Now()}
	var err error
	l.Lifecycle, err = node.NewLifecycle(node.LifecycleOptions{
		Zone: "permian-a", AnnounceTime: 5 * time.Second, StopLimit: 30 * time.Second, Stages: stages,
		PublishState: func(s member.State) { l.publishedStates = append(l.publishedStates, s) }, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { l.ended <- l.Run(t.Context()) }()
	return l
}

// statusAt waits until a time after the start and returns the status at that time.
func (l *lifecycleRun) statusAt(d time.Duration) *node.LifecycleStatus {
	time.Sleep(time.Until(l.startedAt.Add(d)))
	synctest.Wait()
	return l.Status()
}

func fleetOut(zones ...string) *document.Fleet { return &document.Fleet{ZonesOut: zones} }

// Guards against a stop whose end the requests that arrive meanwhile do not know, so that they are cut off.
func TestStopAnnouncesItsEnd(t *testing.T) {
	for _, announced := range []bool{true, false} { // an instance that was never ready announces nothing
		synctest.Test(t, func(t *testing.T) {
			l := startLifecycle(t, node.Stage{Name: "never ends", Run: func(ctx context.Context) error { <-ctx.Done(); return nil }})
			if announced {
				l.Configured()
			}
			if s := l.statusAt(time.Second); !s.StopsBy.IsZero() {
				t.Errorf("the end of a stop is announced before it begins: %+v", s)
			}
			l.Stop()
			by := l.statusAt(time.Second).StopsBy
			<-l.ended
			if now := time.Now(); !by.Equal(now) {
				t.Errorf("the stop ended %s after its announced end", now.Sub(by))
			}
		})
	}
}

// Guards against an instance that is ready without a configuration, while its availability zone is taken out, or while it
// stops, and against a stop that drains before the platform's balancer has noticed it.
func TestReadinessFollowsLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLifecycle(t, node.Stage{Name: "finish work", Run: func(context.Context) error { time.Sleep(3 * time.Second); return nil }})
		expect := func(after time.Duration, state, zone string, ready bool) {
			t.Helper()
			if s := l.statusAt(after); s.State != state || s.Zone != zone || s.Ready != ready || s.Reason == "" {
				t.Errorf("after %v: %+v, want %s, %s, ready %t", after, *s, state, zone, ready)
			}
		}
		expect(0, "starting", "serving", false)
		l.Configured()
		expect(time.Second, "serving", "serving", true)
		l.ApplyFleet(fleetOut("permian-a"))
		expect(2*time.Second, "serving", "leaving", false)
		expect(5*time.Second, "serving", "out", false)
		l.ApplyFleet(fleetOut("permian-b"))
		expect(6*time.Second, "serving", "returning", true)
		expect(16*time.Second, "serving", "serving", true)
		l.Stop()
		expect(20*time.Second, "announcing", "serving", false)
		l.Stop()
		expect(22*time.Second, "draining", "serving", false)
		expect(25*time.Second, "stopped", "serving", false)
		if err := <-l.ended; err != nil {
			t.Errorf("graceful stop gives %v", err)
		}
		if !slices.Equal(slices.Compact(l.publishedStates), []member.State{member.Serving, member.Draining}) {
			t.Errorf("the states published to the fleet are %v", l.publishedStates)
		}
	})
}

// Guards against a stop that exceeds its limit, and against an error that does not name the unfinished stages.
func TestStopIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hang := func(ctx context.Context) error { <-ctx.Done(); return errors.New("2 requests") }
		l := startLifecycle(t, node.Stage{Name: "hand over leases", Run: func(context.Context) error { return nil }},
			node.Stage{Name: "finish work", Run: hang}, node.Stage{Name: "leave", Run: func(context.Context) error { return nil }})
		l.Configured()
		l.Stop()
		err := <-l.ended
		if d := time.Since(l.startedAt); d != 30*time.Second {
			t.Errorf("the stop took %v, want its limit of 30s", d)
		}
		if !fault.Is(err, fault.DeadlineExceeded) || fault.As(err).Message != "the stop reached its limit of 30s; still open: finish work, leave" {
			t.Errorf("the stop gives %v", err)
		}
	})
}

// Guards against a stop before the first configuration that waits for an announcement, although the instance was never
// ready, or that never ends.
func TestStopWhileStarting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLifecycle(t)
		l.Stop()
		if err := <-l.ended; err != nil || time.Since(l.startedAt) > 0 {
			t.Errorf("the stop took %v and gave %v", time.Since(l.startedAt), err)
		}
	})
}

// Guards against settings that leave no time to drain.
func TestLimitsAreChecked(t *testing.T) {
	if _, err := node.NewLifecycle(node.LifecycleOptions{AnnounceTime: 5 * time.Second, StopLimit: 5 * time.Second}); !fault.Is(err, fault.Invalid) {
		t.Errorf("error is %v", err)
	}
}

// lossyClient loses the answer of the first successful Create.
type lossyClient struct {
	*client
	lost bool
}

func (c *lossyClient) Create(ctx context.Context, kind objectapi.Kind, name string, value []byte) (objectapi.Object, error) {
	o, err := c.client.Create(ctx, kind, name, value)
	if err == nil && !c.lost {
		c.lost = true
		return objectapi.Object{}, fault.New(fault.AmbiguousWrite, "read it back", "the answer was lost")
	}
	return o, err
}

// Guards against an instance that is missing from the platform's list because the object API was down, an answer was lost or
// the entry was deleted, that keeps the entry of an earlier process, or that deletes the entry of a later one.
func TestRegistration(t *testing.T) {
	entry := document.Instance{Name: "entry-1", Region: "permian", Zone: "permian-a", PeerAddress: "10.0.0.1:7000"}
	synctest.Test(t, func(t *testing.T) {
		api := &lossyClient{client: &client{store: newStore(), down: true}}
		start := func(e document.Instance) *node.Registrar {
			r, err := node.NewRegistrar(api, e, slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = r.Run(t.Context()) }()
			return r
		}
		version := func() uint64 {
			o, _ := api.Get(t.Context(), objectapi.Instances, "entry-1")
			return o.Version
		}
		first := start(entry)
		time.Sleep(time.Minute)
		api.fail(false, 0, false)
		time.Sleep(10 * time.Second)
		if v := version(); v != 1 {
			t.Fatalf("entry has version %d, want one write", v)
		}
		if err := api.Delete(t.Context(), objectapi.Instances, "entry-1", 1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if v := version(); v != 3 {
			t.Fatalf("a deleted entry was not written again: version %d", v)
		}
		entry.Incarnation++
		second := start(entry)
		time.Sleep(time.Second)
		if err := first.Remove(t.Context()); err != nil || version() != 4 {
			t.Errorf("after the earlier process left: version %d, error %v", version(), err)
		}
		if err := second.Remove(t.Context()); err != nil || version() != 0 {
			t.Errorf("after the later process left: version %d, error %v", version(), err)
		}
	})
}

// Guards against a stop that waits forever for the object API.
func TestRemovalIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		api := &client{store: newStore()}
		r, err := node.NewRegistrar(api, document.Instance{Name: "entry-1", Region: "permian", Zone: "permian-a", PeerAddress: "10.0.0.1:7000"}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = r.Run(t.Context()) }()
		time.Sleep(time.Second)
		api.fail(true, 0, true)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		before := time.Now()
		if err := r.Remove(ctx); err == nil || time.Since(before) != 3*time.Second {
			t.Errorf("removal took %v and gave %v", time.Since(before), err)
		}
	})
}
