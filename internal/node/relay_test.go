package node

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Guards against a drain that one instance sees on an answer and that never reaches the service of another
// instance, which then keeps sending requests to the draining server.
func TestDrainReachesOtherInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served := 0
		dial := func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
					served++
					_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nBackend-State: draining\r\nConnection: close\r\n\r\n")
				}
				_ = far.Close()
			}()
			return near, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		self := balance.Location{Region: "permian", Zone: "permian-a"}
		var relays [2]*Relay
		var servers [2]*Server
		for n := range relays {
			directory := NewDirectory(self, dial, slog.New(slog.DiscardHandler)).WithoutKeepers()
			relays[n] = NewRelay(RelayOptions{
				View: func() *member.View { return &member.View{} }, Entries: directory.Entries, Log: slog.New(slog.DiscardHandler),
				SendNotice: func(service string, notice balance.Notice) {
					relays[1-n].Notice(member.Notice{Notice: notice, Service: service, Origin: "entry"})
				},
				OnChange: func(string, balance.Change) {},
			})
			servers[n], _ = NewServer(directory, self)
			go func() { _ = directory.Run(ctx) }()
			if err := directory.Apply(ctx, onceDocuments("intake-1")); err != nil {
				t.Fatal(err)
			}
			go func() { _ = relays[n].Run(ctx) }()
		}
		send := func(n int) error {
			_, err := servers[n].Do(ctx, &call.Request{ID: "1", Service: "intake", Method: "GET", Path: "/lookup/1"})
			return err
		}
		if err := send(0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * relayInterval)
		if err := send(1); !fault.Is(err, fault.NoServer) || !fault.As(err).NotRun || served != 1 {
			t.Errorf("the draining server got %d requests, want 1; error %v", served, err)
		}
		cancel()
		synctest.Wait()
	})
}
