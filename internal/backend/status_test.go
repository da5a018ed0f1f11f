package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
)

// firstAnswer is a server in memory. It answers the request of its first connection with a text and then stays silent. Each
// further connection gets normal answers.
type firstAnswer struct {
	text  string
	dials int
	// closed is closed when the first connection has been closed.
	closed chan struct{}
}

func (s *firstAnswer) dial(context.Context, string) (net.Conn, error) {
	s.dials++
	client, server := net.Pipe()
	first := s.dials == 1
	go func() {
		defer func() { _ = server.Close() }()
		reader := bufio.NewReader(server)
		if !first {
			echo(0, server, reader)
			return
		}
		defer close(s.closed)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(server, s.text) // the connection may be closed before the end
		_, _ = reader.ReadByte()              // returns when it is closed
	}()
	return client, nil
}

// withFirstAnswer runs a pool of the server inside a bubble of virtual time.
func withFirstAnswer(t *testing.T, text string, test func(t *testing.T, s *firstAnswer, p *backend.Pool)) {
	synctest.Test(t, func(t *testing.T) {
		s := &firstAnswer{text: text, closed: make(chan struct{})}
		factory, err := backend.NewPoolFactory(s.dial, foreignCodec{}, nil)
		if err != nil {
			t.Fatal(err)
		}
		p := factory.NewPool("10.0.0.1:80", backend.PoolSize{MaxConnections: 1})
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() { _ = p.Run(ctx); close(stopped) }()
		test(t, s, p)
		cancel()
		<-stopped
	})
}

// Guards against a status that is none: the bytes behind it were read as the answer, the request waited until its deadline, or
// the caller got it as an answer. The last two parts end the head or leave it open.
func TestInvalidStatusEndsExchange(t *testing.T) {
	const following = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"
	starts := map[string]string{
		"none":                  "HTTP/1.1",
		"blank":                 "HTTP/1.1  OK",
		"not a number":          "HTTP/1.1 abc OK",
		"one digit":             "HTTP/1.1 2 OK",
		"two digits":            "HTTP/1.1 20 OK",
		"four digits":           "HTTP/1.1 2000 OK",
		"signed":                "HTTP/1.1 +20 OK",
		"negative":              "HTTP/1.1 -20 OK",
		"negative zero":         "HTTP/1.1 -00 OK",
		"interim with a length": "HTTP/1.1 103 Early Hints\r\nContent-Length: 4",
		"interim in chunks":     "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked",
	}
	for _, status := range []string{"000", "001", "020", "099", "101", "104", "150", "199", "600", "666", "999"} {
		starts[status] = "HTTP/1.1 " + status + " Trouble"
	}
	for name, start := range starts {
		for ending, rest := range map[string]string{
			"complete": "\r\nContent-Length: 0\r\n\r\n", "answer behind it": "\r\n\r\n" + following, "open head": "\r\nA: b\r\n",
		} {
			if strings.HasPrefix(name, "interim") && ending != "answer behind it" {
				continue // the field that shows it is in the head
			}
			for kind, do := range map[string]func(*backend.Pool, context.Context, *call.Request) backend.Result{
				"request": (*backend.Pool).Do, "check": (*backend.Pool).Check,
			} {
				t.Run(name+", "+ending+", "+kind, func(t *testing.T) {
					withFirstAnswer(t, start+rest, func(t *testing.T, s *firstAnswer, p *backend.Pool) {
						begin := time.Now()
						ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
						defer cancel()
						r := do(p, ctx, &call.Request{ID: "1", Service: "s", Method: "GET", Path: "/"})
						<-s.closed
						if r.Answer != nil || r.Fate != call.MaybeRun || !backend.IsInvalidAnswer(r.Err) {
							t.Errorf("answer %+v, fate %v, error %v", r.Answer, r.Fate, r.Err)
						}
						if elapsed := time.Since(begin); elapsed > 0 {
							t.Errorf("the exchange ended after %s", elapsed)
						}
						r = p.Do(t.Context(), &call.Request{ID: "2", Service: "s", Method: "GET", Path: "/"})
						if r.Err != nil || s.dials != 2 {
							t.Errorf("the next request got %v over connection %d", r.Err, s.dials)
						}
					})
				})
			}
		}
	}
}

// Guards against interim answers that are taken for an invalid status, and against final ones that are.
func TestValidStatusesAreAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		status int
	}{
		"first":              {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200},
		"last":               {"HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n", 599},
		"without a reason":   {"HTTP/1.1 204\r\n\r\n", 204},
		"unknown redirect":   {"HTTP/1.1 399 Odd\r\nContent-Length: 0\r\n\r\n", 399},
		"long reason":        {"HTTP/1.1 200 " + strings.Repeat("a", 8<<10) + "\r\nContent-Length: 0\r\n\r\n", 200},
		"behind interim one": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 201 Done\r\nContent-Length: 0\r\n\r\n", 201},
	} {
		t.Run(name, func(t *testing.T) {
			withFirstAnswer(t, c.answer, func(t *testing.T, _ *firstAnswer, p *backend.Pool) {
				r := p.Do(t.Context(), &call.Request{ID: "1", Service: "s", Method: "GET", Path: "/"})
				if r.Answer == nil || r.Answer.Status != c.status || r.Fate != call.Answered {
					t.Errorf("answer %+v, fate %v, error %v, want status %d", r.Answer, r.Fate, r.Err, c.status)
				}
			})
		})
	}
}
