package backend_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"fuchsiahub.example/fuchsiahub/internal/backend"
)

const probeAnswer = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\nBackend-State: cold\r\nBackend-Load: 2/6\r\n"

// Guards against a probe that confuses a slow server with a dead one, or reports a broken connection as a restart
// although the server's incarnation is unchanged.
func TestProbeResults(t *testing.T) {
	probed := backend.ProbeResult{Answered: true, State: "cold", Running: 2, Slots: 6}
	probedWithIncarnation, probedRefused := probed, probed
	probedWithIncarnation.Incarnation = "i1"
	probedRefused.ConnectionRefused = true
	cases := map[string]struct {
		// answers holds the answer on each connection: "" closes it, "-" sends nothing; further connections are refused.
		answers []string
		want    backend.ProbeResult
	}{
		"answered":                  {[]string{probeAnswer + "\r\n"}, probed},
		"refused":                   {nil, backend.ProbeResult{ConnectionRefused: true}},
		"unresponsive":              {[]string{"-"}, backend.ProbeResult{}},
		"broken twice":              {[]string{"", ""}, backend.ProbeResult{ConnectionRefused: true}},
		"broken, then refused":      {[]string{""}, backend.ProbeResult{ConnectionRefused: true}},
		"broken, then unresponsive": {[]string{"", "-"}, backend.ProbeResult{}},
		"broken, no incarnation":    {[]string{"", probeAnswer + "\r\n"}, probedRefused},
		"broken, same server":       {[]string{"", probeAnswer + "Backend-Incarnation: i1\r\n\r\n"}, probedWithIncarnation},
	}
	for name, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			answers := c.answers
			dial := func(context.Context, string) (net.Conn, error) {
				if len(answers) == 0 {
					return nil, errors.New("connection refused")
				}
				client, server := net.Pipe()
				go answerProbe(server, answers[0])
				answers = answers[1:]
				return client, nil
			}
			pool, err := backend.NewPool("10.0.0.1:80", dial, backend.PoolSize{MaxConnections: 1})
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = pool.Run(ctx) }()
			if got := backend.Probe(ctx, pool, "atlas", "/health"); got != c.want {
				t.Errorf("%s: %+v, want %+v", name, got, c.want)
			}
			cancel()
		})
	}
}

func answerProbe(c net.Conn, answer string) {
	r := bufio.NewReader(c)
	if _, err := http.ReadRequest(r); err != nil || answer == "" {
		_ = c.Close()
		return
	}
	if answer != "-" {
		_, _ = c.Write([]byte(answer))
	}
	_, _ = r.ReadByte() // returns when the pool closes the connection
	_ = c.Close()
}

// Guards against a connection that is closed because the caller ends its context as soon as it has the complete answer:
// each probe would then open a new connection to the server.
func TestProbesReuseConnection(t *testing.T) {
	dials := 0
	dial := func(context.Context, string) (net.Conn, error) {
		dials++
		client, server := net.Pipe()
		go func() {
			for r := bufio.NewReader(server); ; {
				if _, err := http.ReadRequest(r); err != nil {
					_ = server.Close()
					return
				}
				_, _ = server.Write([]byte(probeAnswer + "\r\n"))
			}
		}()
		return client, nil
	}
	pool, err := backend.NewPool("10.0.0.1:80", dial, backend.PoolSize{MaxConnections: 1})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { _ = pool.Run(ctx); close(ended) }()
	for range 15000 {
		backend.Probe(ctx, pool, "atlas", "/health")
	}
	cancel()
	<-ended
	if dials != 1 {
		t.Errorf("%d connections for one server that keeps them open", dials)
	}
}

// BenchmarkProbe probes over one persistent loopback connection. The result includes the server's side of the exchange.
func BenchmarkProbe(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		for r := bufio.NewReader(c); err == nil; _, err = c.Write([]byte(probeAnswer + "\r\n")) {
			if _, err = http.ReadRequest(r); err != nil {
				break
			}
		}
		_ = c.Close()
	}()
	pool, err := backend.NewPool(listener.Addr().String(), backend.NetDialer, backend.PoolSize{MaxConnections: 1})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	ended := make(chan struct{})
	go func() { _ = pool.Run(ctx); close(ended) }()
	b.ReportAllocs()
	for b.Loop() {
		if r := backend.Probe(ctx, pool, "atlas", "/health"); !r.Answered {
			b.Fatalf("probe %d: %+v", b.N, r)
		}
	}
	cancel()
	<-ended
}
