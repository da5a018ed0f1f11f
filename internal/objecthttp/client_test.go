package objecthttp_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/objecthttp"
	standin "fuchsiahub.example/fuchsiahub/internal/standin/objectapi"
)

// startStore returns a stand-in store and two APIs for it: over HTTP and in process.
func startStore(t *testing.T) (*standin.Store, map[string]objectapi.API) {
	t.Helper()
	store := standin.New()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- store.Run(ctx) }()
	server := httptest.NewServer(standin.Handler(store))
	client := objecthttp.New(server.Listener.Addr().String(), nil)
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		server.CloseClientConnections()
		server.Close()
		client.Close()
	})
	return store, map[string]objectapi.API{"HTTP": client, "in process": store}
}

func wantKind(t *testing.T, err error, want fault.Kind) {
	t.Helper()
	if !fault.Is(err, want) {
		t.Errorf("got error %v, want kind %s", err, want)
	}
}

func wantValue(t *testing.T, o objectapi.Object, err error, want string) objectapi.Object {
	t.Helper()
	if err != nil || string(o.Value) != want {
		t.Fatalf("got %q, %v, want %q", o.Value, err, want)
	}
	return o
}

// Guards against an update that does not check its version: the later of two operators would overwrite the earlier one's
// change.
func TestConditionalUpdates(t *testing.T) {
	_, apis := startStore(t)
	for name, api := range apis {
		t.Run(name, func(t *testing.T) {
			ctx := t.Context()
			object := strings.ReplaceAll(strings.ToLower(name), " ", "-")
			_, err := api.Get(ctx, objectapi.Services, object)
			wantKind(t, err, fault.NotFound)
			_, err = api.Update(ctx, objectapi.Services, object, 1, nil)
			wantKind(t, err, fault.NotFound)
			first, err := api.Create(ctx, objectapi.Services, object, []byte("1"))
			wantValue(t, first, err, "1")
			_, err = api.Create(ctx, objectapi.Services, object, []byte("other"))
			wantKind(t, err, fault.Conflict)
			second, err := api.Update(ctx, objectapi.Services, object, first.Version, []byte("2"))
			wantValue(t, second, err, "2")
			_, err = api.Update(ctx, objectapi.Services, object, first.Version, []byte("other"))
			wantKind(t, err, fault.Conflict)
			wantKind(t, api.Delete(ctx, objectapi.Services, object, first.Version), fault.Conflict)
			got, err := api.Get(ctx, objectapi.Services, object)
			if wantValue(t, got, err, "2"); got.Version != second.Version {
				t.Errorf("version %d, want %d", got.Version, second.Version)
			}
			if err := api.Delete(ctx, objectapi.Services, object, second.Version); err != nil {
				t.Error(err)
			}
			_, err = api.Get(ctx, objectapi.Services, object)
			wantKind(t, err, fault.NotFound)
		})
	}
}

// Guards against a watch that loses or repeats a change when it resumes, and against a watch from a version that is too
// old without an error.
func TestWatchResumes(t *testing.T) {
	store, apis := startStore(t)
	ctx := t.Context()
	a, _ := store.Create(ctx, objectapi.Fleet, "a", []byte("1"))
	for name, api := range apis {
		t.Run(name, func(t *testing.T) {
			_, listed, err := api.List(ctx, objectapi.Fleet)
			if err != nil {
				t.Fatal(err)
			}
			w, err := api.Watch(ctx, objectapi.Fleet, listed)
			if err != nil {
				t.Fatal(err)
			}
			b, _ := store.Create(ctx, objectapi.Fleet, "b", []byte("2"))
			if e, err := w.Next(ctx); err != nil || e.Object.Name != "b" || string(e.Object.Value) != "2" {
				t.Fatalf("got %+v, %v", e, err)
			}
			if err := store.CutWatches(ctx); err != nil {
				t.Fatal(err)
			}
			_, err = w.Next(ctx)
			wantKind(t, err, fault.StoreUnavailable)
			_ = store.Delete(ctx, objectapi.Fleet, "b", b.Version)
			w, err = api.Watch(ctx, objectapi.Fleet, b.Version)
			if err != nil {
				t.Fatal(err)
			}
			if e, err := w.Next(ctx); err != nil || !e.Deleted || e.Object.Version <= b.Version {
				t.Fatalf("got %+v, %v", e, err)
			}
			_ = w.Close()
		})
	}
	last := a
	for range 1100 {
		last, _ = store.Update(ctx, objectapi.Fleet, "a", last.Version, nil)
	}
	for _, api := range apis {
		_, err := api.Watch(ctx, objectapi.Fleet, a.Version)
		wantKind(t, err, fault.TooOld)
	}
}

// Guards against a write that took effect but whose lost answer is reported as a failure or a success.
func TestLostWriteAnswerIsAmbiguous(t *testing.T) {
	store, apis := startStore(t)
	ctx := t.Context()
	for name, api := range apis {
		t.Run(name, func(t *testing.T) {
			object := strings.ReplaceAll(strings.ToLower(name), " ", "-")
			if err := store.Set(ctx, standin.Switches{LoseAnswers: 1}); err != nil {
				t.Fatal(err)
			}
			_, err := api.Create(ctx, objectapi.Claims, object, []byte("1"))
			wantKind(t, err, fault.AmbiguousWrite)
			got, err := api.Get(ctx, objectapi.Claims, object)
			wantValue(t, got, err, "1")
		})
	}
}

// Guards against an outage that is reported as another error, and against a stand-in that answers while it is down.
func TestOutageIsStoreUnavailable(t *testing.T) {
	store, apis := startStore(t)
	ctx := t.Context()
	watches := map[string]objectapi.Watch{}
	for name, api := range apis {
		watches[name], _ = api.Watch(ctx, objectapi.Fleet, 0)
	}
	if err := store.Set(ctx, standin.Switches{Down: true}); err != nil {
		t.Fatal(err)
	}
	for name, api := range apis {
		_, err := api.Get(ctx, objectapi.Fleet, "a")
		wantKind(t, err, fault.StoreUnavailable)
		_, _, err = api.List(ctx, objectapi.Fleet)
		wantKind(t, err, fault.StoreUnavailable)
		_, err = watches[name].Next(ctx)
		wantKind(t, err, fault.StoreUnavailable)
	}
}

// Guards against a write that is reported as ambiguous although no connection was opened.
func TestWriteWithoutConnectionIsNotAmbiguous(t *testing.T) {
	client := objecthttp.New("127.0.0.1:1", func(context.Context, string, string) (net.Conn, error) {
		return nil, net.ErrClosed
	})
	_, err := client.Create(t.Context(), objectapi.Claims, "a", nil)
	wantKind(t, err, fault.StoreUnavailable)
}

// Guards against a stand-in that ignores the switches for a stale list of instances and for older reads.
func TestStandInStaleReadSwitches(t *testing.T) {
	store, _ := startStore(t)
	ctx := t.Context()
	old, _ := store.Create(ctx, objectapi.Instances, "one", []byte("1"))
	_ = store.Set(ctx, standin.Switches{StaleInstances: true})
	_, _ = store.Update(ctx, objectapi.Instances, "one", old.Version, []byte("2"))
	got, err := store.Get(ctx, objectapi.Instances, "one")
	wantValue(t, got, err, "1")
	_ = store.Set(ctx, standin.Switches{OlderReads: true})
	got, err = store.Get(ctx, objectapi.Instances, "one")
	wantValue(t, got, err, "2")
	_, _ = store.Create(ctx, objectapi.Fleet, "fleet", nil)
	_, err = store.Get(ctx, objectapi.Fleet, "fleet")
	wantKind(t, err, fault.NotFound)
	_ = store.Set(ctx, standin.Switches{})
	_, err = store.Get(ctx, objectapi.Fleet, "fleet")
	if err != nil {
		t.Error(err)
	}
}

// Guards against malformed answers that are accepted as objects or crash the client.
func TestMalformedAnswers(t *testing.T) {
	answers := map[string]string{
		"no JSON":       `<html>`,
		"other object":  `{"kind":"services","name":"b","version":3}`,
		"no version":    `{"kind":"services","name":"a"}`,
		"wrong version": `{"kind":"services","name":"a","version":-1}`,
		"not base64":    `{"kind":"services","name":"a","version":3,"value":"%"}`,
		"deep":          strings.Repeat(`[`, 20_000) + strings.Repeat(`]`, 20_000),
		"huge version":  `{"kind":"services","name":"a","version":1e400}`,
		"too long":      `{"kind":"services","name":"a","version":3,"value":"` + strings.Repeat("A", 4<<20) + `"}`,
	}
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			client := newClientWithAnswer(t, text)
			_, err := client.Get(t.Context(), objectapi.Services, "a")
			wantKind(t, err, fault.Invalid)
			_, err = client.Update(t.Context(), objectapi.Services, "a", 2, nil)
			wantKind(t, err, fault.AmbiguousWrite)
			w, err := client.Watch(t.Context(), objectapi.Services, 2)
			if err != nil {
				t.Fatal(err)
			}
			_, err = w.Next(t.Context())
			wantKind(t, err, fault.Invalid)
		})
	}
}

// Guards against a list with inconsistent versions: a watch that continues from it would repeat or lose changes.
func TestMalformedLists(t *testing.T) {
	for _, text := range []string{
		`{"version":2,"objects":[{"kind":"services","name":"a","version":3}]}`,
		`{"version":2,"objects":[{"kind":"services","name":"a"}]}`,
		`{"version":2,"objects":[{"kind":"fleet","name":"a","version":1}]}`,
		`{"version":2,"objects":[{"kind":"services","name":"../a","version":1}]}`,
	} {
		_, _, err := newClientWithAnswer(t, text).List(t.Context(), objectapi.Services)
		wantKind(t, err, fault.Invalid)
	}
}

// Guards against a watch that reports a change twice, or an older change after a newer one.
func TestWatchVersionsIncrease(t *testing.T) {
	const line = `{"type":"put","object":{"kind":"services","name":"a","version":3}}` + "\n"
	w, err := newClientWithAnswer(t, line+line).Watch(t.Context(), objectapi.Services, 2)
	if err != nil {
		t.Fatal(err)
	}
	if e, err := w.Next(t.Context()); err != nil || e.Object.Version != 3 {
		t.Errorf("got %+v, %v", e, err)
	}
	_, err = w.Next(t.Context())
	wantKind(t, err, fault.Invalid)
}

// newClientWithAnswer returns a client for a server that gives the same answer to every call.
func newClientWithAnswer(t *testing.T, text string) *objecthttp.Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(text))
	}))
	client := objecthttp.New(server.Listener.Addr().String(), nil)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client
}

// Guards against a server error that is treated as proof that a write had no effect.
func TestErrorStatusKinds(t *testing.T) {
	tests := []struct {
		status     int
		body       string
		get, write fault.Kind
	}{
		{http.StatusInternalServerError, "", fault.StoreUnavailable, fault.AmbiguousWrite},
		{http.StatusServiceUnavailable, "", fault.StoreUnavailable, fault.AmbiguousWrite},
		{http.StatusServiceUnavailable, `{"reason":"unavailable"}`, fault.StoreUnavailable, fault.StoreUnavailable},
		{http.StatusTooManyRequests, "", fault.StoreUnavailable, fault.StoreUnavailable},
		{http.StatusBadRequest, "", fault.Invalid, fault.Invalid},
		{http.StatusGone, "", fault.TooOld, fault.TooOld},
	}
	for _, test := range tests {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(test.status)
			_, _ = w.Write([]byte(test.body))
		}))
		client := objecthttp.New(server.Listener.Addr().String(), nil)
		_, err := client.Get(t.Context(), objectapi.Services, "a")
		wantKind(t, err, test.get)
		_, err = client.Create(t.Context(), objectapi.Services, "a", nil)
		wantKind(t, err, test.write)
		client.Close()
		server.Close()
	}
}
