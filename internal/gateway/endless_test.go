package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

// endlessAnswer returns a dialer for servers in memory that answer with a start and then a part repeated until the
// connection is closed. The channel receives the number of bytes that the server could send.
func endlessAnswer(start, repeated string) (backend.Dialer, <-chan int) {
	ended := make(chan int, 1)
	return func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				return // the connection was not used
			}
			sent, err := server.Write([]byte(start))
			for n := 0; err == nil && sent < 1<<20; sent += n {
				n, err = server.Write([]byte(repeated))
			}
			ended <- sent
		}()
		return client, nil
	}, ended
}

// Guards against health checks that keep much of an endless answer in memory, one for each server, and against a server
// with such an answer that counts as healthy.
func TestEndlessAnswerToHealthCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial, ended := endlessAnswer("HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "x")
		factory, err := backend.NewPoolFactory(dial, anyAnswer{}, nil)
		if err != nil {
			t.Fatal(err)
		}
		s := &server{entry: &fleet.Backend{ID: "i-1"}, pool: factory.NewPool("10.0.0.1:80", backend.PoolSize{MaxConnections: 1})}
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() { _ = s.pool.Run(ctx); close(stopped) }()
		results := make(chan backend.Result, 1)
		s.sendCheck(ctx, time.Second, fleet.Service{HealthPath: "/healthz"}, func(r backend.Result) { results <- r })
		if r := <-results; r.Answer != nil || r.ConnectionRefused || !backend.IsInvalidAnswer(r.Err) {
			t.Errorf("result %+v", r)
		}
		if sent := <-ended; sent > 32<<10 {
			t.Errorf("the server could send %d bytes of a health answer", sent)
		}
		cancel()
		<-stopped
	})
}

// anyAnswer is a codec that takes each answer as the answer to the request.
type anyAnswer struct{}

func (anyAnswer) Encode(http.Header, *call.Request, time.Time) {}

func (anyAnswer) Decode(*backend.Result, int, http.Header) {}

func (anyAnswer) CheckOwnership(*call.Request, int, http.Header) backend.Ownership {
	return backend.OwnAnswer
}
