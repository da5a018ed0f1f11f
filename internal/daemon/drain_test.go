package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"

	"fuchsiahub.example/fuchsiahub/internal/standin/memnet"
)

// Guards against a drain that aborts requests in flight or accepts new connections. TestStopUnderLoadCutsNoRequest does
// not cover this, because its callers stop sending when the drain begins.
func TestDrainWaitsForRequestInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener, finish := memnet.Listen(), make(chan struct{})
		slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { <-finish; w.WriteHeader(http.StatusAccepted) })
		w := &httpServers{callers: newHTTPServer(slow, slog.New(slog.DiscardHandler))}
		w.listeners.callers = listener
		client := &http.Client{Transport: &http.Transport{DialContext: listener.Dial, DisableKeepAlives: true}}
		served, answered, drained := make(chan error, 1), make(chan int, 1), make(chan error, 1)
		go func() { served <- w.serveCallers(t.Context()) }()
		go func() {
			resp, err := client.Get("http://entry/")
			if err != nil {
				t.Errorf("request in flight: %v", err)
				answered <- 0
				return
			}
			_ = resp.Body.Close()
			answered <- resp.StatusCode
		}()
		synctest.Wait()
		go func() { drained <- w.drain(context.Background()) }()
		synctest.Wait()
		select {
		case err := <-drained:
			t.Errorf("the drain returned while a request was in flight: %v", err)
			drained <- err
		default:
		}
		if _, err := client.Get("http://entry/"); err == nil {
			t.Error("a new connection was accepted during the drain")
		}
		close(finish)
		if status := <-answered; status != http.StatusAccepted {
			t.Errorf("status %d", status)
		}
		if err := <-drained; err != nil {
			t.Errorf("drain: %v", err)
		}
		if err := <-served; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
}

// Guards against requests that the end of the process cuts off and that are reported as given up by their callers.
func TestEndOfProcessIsReportedBeforeConnectionsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener, ending, cut := memnet.Listen(), make(chan struct{}), make(chan bool, 1)
		held := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			select {
			case <-ending:
				cut <- true
			default:
				cut <- false
			}
		})
		w := &httpServers{callers: newHTTPServer(held, slog.New(slog.DiscardHandler)),
			operations: newHTTPServer(held, slog.New(slog.DiscardHandler)), ending: ending}
		w.listeners.callers = listener
		client := &http.Client{Transport: &http.Transport{DialContext: listener.Dial, DisableKeepAlives: true}}
		go func() { _ = w.serveCallers(t.Context()) }() // ends with close
		go func() {
			if answer, err := client.Get("http://entry/"); err == nil {
				_ = answer.Body.Close()
			}
		}()
		synctest.Wait()
		w.close()
		if !<-cut {
			t.Error("the connections were closed before the end of the process was announced")
		}
	})
}
