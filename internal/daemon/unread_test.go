package daemon

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/standin/memnet"
)

// Guards against a connection that is held without an end, with its answer, because its caller does not read, and against a time
// limit that ends a long answer which is read slowly.
func TestUnreadAnswerEndsConnection(t *testing.T) {
	const parts = 60
	for name, c := range map[string]struct {
		readEvery time.Duration
		cut       bool
	}{"not read": {time.Hour, true}, "read slowly": {time.Second, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener, ended := memnet.Listen(), make(chan error, 1)
				part := strings.Repeat("x", 8<<10)
				long := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					var err error
					for n := 0; n < parts && err == nil; n++ {
						_, err = io.WriteString(w, part)
					}
					ended <- err
				})
				s := &httpServers{callers: newHTTPServer(long, slog.New(slog.DiscardHandler)), connections: newCallerConnections()}
				s.listeners.callers = listener
				go func() { _ = s.serveCallers(t.Context()) }() // ends with Close
				conn, err := listener.Dial(context.Background(), "", "")
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
				began := time.Now()
				stop := make(chan struct{})
				go func() {
					for buffer := make([]byte, 8<<10); ; {
						select {
						case <-time.After(c.readEvery):
						case <-stop:
							return
						}
						if _, err := conn.Read(buffer); err != nil {
							return
						}
					}
				}()
				if err := <-ended; (err != nil) != c.cut || c.cut && time.Since(began) > writeTimeout+time.Second {
					t.Errorf("after %s the answer ended with %v", time.Since(began), err)
				}
				close(stop)
				_ = conn.Close()
				_ = s.callers.Close()
			})
		})
	}
}
