package objecthttp_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/objecthttp"
	"fuchsiahub.example/fuchsiahub/internal/standin/memnet"
	standin "fuchsiahub.example/fuchsiahub/internal/standin/objectapi"
)

// withClientOf runs a test with a client of the handler over an in-memory network, for use in virtual time.
func withClientOf(t *testing.T, handler http.Handler, test func(t *testing.T, client *objecthttp.Client)) {
	t.Helper()
	listener := memnet.Listen()
	server := &http.Server{Handler: handler}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	client := objecthttp.New("127.0.0.1:1", listener.Dial)
	test(t, client)
	client.Close()
	_ = server.Close()
	<-ended
}

// Guards against a call that waits forever for a platform that accepts the call and does not answer.
func TestUnansweredCallsTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unresponsive := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // net/http detects a disconnected client only after the body has been read
			<-r.Context().Done()
		})
		withClientOf(t, unresponsive, func(t *testing.T, client *objecthttp.Client) {
			start := time.Now()
			_, err := client.Get(t.Context(), objectapi.Fleet, "a")
			wantKind(t, err, fault.StoreUnavailable)
			_, err = client.Create(t.Context(), objectapi.Fleet, "a", nil)
			wantKind(t, err, fault.AmbiguousWrite)
			_, err = client.Watch(t.Context(), objectapi.Fleet, 0)
			wantKind(t, err, fault.StoreUnavailable)
			if took := time.Since(start); took != 6*time.Second {
				t.Errorf("three calls took %v", took)
			}
		})
	})
}

// Guards against a watch that is closed although it is alive, and against one that waits forever on a dead stream.
func TestWatchIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New()
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- store.Run(ctx) }()
		withClientOf(t, standin.Handler(store), func(t *testing.T, client *objecthttp.Client) {
			w, err := client.Watch(t.Context(), objectapi.Fleet, 0)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Minute) // virtual time
			if _, err := store.Create(t.Context(), objectapi.Fleet, "a", nil); err != nil {
				t.Fatal(err)
			}
			if e, err := w.Next(t.Context()); err != nil || e.Object.Name != "a" {
				t.Errorf("got %+v, %v", e, err)
			}
			_ = w.Close()
			synctest.Wait()
		})
		cancel()
		<-ended
		withoutLines := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})
		withClientOf(t, withoutLines, func(t *testing.T, client *objecthttp.Client) {
			w, err := client.Watch(t.Context(), objectapi.Fleet, 0)
			if err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			_, err = w.Next(t.Context())
			wantKind(t, err, fault.StoreUnavailable)
			if took := time.Since(start); took != 30*time.Second {
				t.Errorf("the watch ended after %v", took)
			}
		})
	})
}
