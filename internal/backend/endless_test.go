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

const (
	// endlessCap ends the stand-in's bytes, so that a test fails instead of using all memory.
	endlessCap = 8 << 20
	// acceptedHead is what a server may send before an exchange ends that has no answer yet.
	acceptedHead = 128 << 10
	// acceptedProbe is what it may send as the answer to a probe.
	acceptedProbe = 48 << 10
	// acceptedForeign is the same where the server sends answers to earlier requests.
	acceptedForeign = 1<<20 + 2*acceptedHead
)

// endlessServer serves connections in memory: the first gets a start and then a part repeated until it is closed, each
// further one normal answers.
type endlessServer struct {
	start, repeated string
	// pause is the time between two parts.
	pause time.Duration
	dials int
	// ended receives the number of bytes that the first connection took before it was closed.
	ended chan int
}

func (s *endlessServer) dial(context.Context, string) (net.Conn, error) {
	s.dials++
	client, server := net.Pipe()
	if s.dials == 1 {
		go s.serveEndless(server)
		return client, nil
	}
	go func() {
		echo(0, server, bufio.NewReader(server))
		_ = server.Close()
	}()
	return client, nil
}

func (s *endlessServer) serveEndless(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	if _, err := http.ReadRequest(reader); err != nil {
		s.ended <- 0
		return
	}
	sent, err := c.Write([]byte(s.start))
	part := []byte(strings.Repeat(s.repeated, max(1, (4<<10)/len(s.repeated))))
	if s.pause > 0 {
		part = []byte(s.repeated)
	}
	for n := 0; err == nil && sent < endlessCap; sent += n {
		time.Sleep(s.pause)
		n, err = c.Write(part)
	}
	if err == nil {
		_, _ = reader.ReadByte() // returns when the connection is closed
	}
	s.ended <- sent
}

// foreignCodec takes an answer with the field Foreign as the answer to an earlier request.
type foreignCodec struct{}

func (foreignCodec) Encode(http.Header, *call.Request, time.Time) {}

func (foreignCodec) Decode(*backend.Result, int, http.Header) {}

func (foreignCodec) CheckOwnership(_ *call.Request, _ bool, _ int, h http.Header) backend.Ownership {
	if h.Get("Foreign") != "" {
		return backend.ForeignAnswer
	}
	return backend.OwnAnswer
}

// withEndlessServer runs a pool of the server inside a bubble of virtual time.
func withEndlessServer(t *testing.T, s *endlessServer, test func(t *testing.T, p *backend.Pool)) {
	synctest.Test(t, func(t *testing.T) {
		s.ended = make(chan int, 1)
		factory, err := backend.NewPoolFactory(s.dial, foreignCodec{}, nil)
		if err != nil {
			t.Fatal(err)
		}
		p := factory.NewPool("10.0.0.1:80", backend.PoolSize{MaxConnections: 1})
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() { _ = p.Run(ctx); close(stopped) }()
		test(t, p)
		cancel()
		<-stopped
	})
}

const (
	okHead      = "HTTP/1.1 200 OK\r\n"
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	foreignHead = okHead + "Foreign: yes\r\n"
	interimHead = "HTTP/1.1 103 Early Hints\r\n"
)

// Guards against memory without a bound, a connection that is never given up and a request that is reported as not run,
// while a server sends bytes that are no answer for as long as the connection is open.
func TestEndlessBytesEndExchange(t *testing.T) {
	for name, c := range map[string]struct {
		start, repeated string
		accepted        int
	}{
		"status line":             {"HTTP/1.1 200 ", "a", acceptedHead},
		"header line":             {okHead + "A: ", "a", acceptedHead},
		"header lines":            {okHead, "A: b\r\n", acceptedHead},
		"continued header line":   {okHead + "A: b\r\n", " c\r\n", acceptedHead},
		"interim answers":         {"", interimHead + "\r\n", acceptedHead},
		"head of interim answer":  {interimHead, "A: b\r\n", acceptedHead},
		"foreign answers":         {"", foreignHead + "Content-Length: 1\r\n\r\nx", acceptedForeign},
		"foreign body":            {foreignHead + "Content-Length: 999999999999\r\n\r\n", "x", acceptedForeign},
		"foreign body, no length": {foreignHead + "\r\n", "x", acceptedForeign},
		"foreign chunks":          {foreignHead + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nxx\r\n", acceptedForeign},
		"foreign trailers":        {foreignHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", acceptedForeign},
		"chunk size":              {chunkedHead, "0", acceptedHead},
		"chunk extension":         {chunkedHead + "1;", "a", acceptedHead},
		"chunk extensions":        {chunkedHead, "1;" + strings.Repeat("a", 1000) + "\r\nx\r\n", acceptedHead},
		"trailers":                {chunkedHead + "0\r\n", "A: b\r\n", acceptedHead},
		"trailer line":            {chunkedHead + "0\r\nA: ", "b", acceptedHead},
	} {
		t.Run(name, func(t *testing.T) {
			s := &endlessServer{start: c.start, repeated: c.repeated}
			withEndlessServer(t, s, func(t *testing.T, p *backend.Pool) {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				result := p.Do(ctx, getRequest("/first"))
				if result.Fate != call.MaybeRun || result.Answer != nil || !backend.IsInvalidAnswer(result.Err) {
					t.Errorf("fate %v, answer %v, error %v", result.Fate, result.Answer, result.Err)
				}
				if sent := <-s.ended; sent > c.accepted {
					t.Errorf("the server could send %d bytes, at most %d are accepted", sent, c.accepted)
				}
				if next := p.Do(t.Context(), getRequest("/next")); body(next) != "/next" || s.dials != 2 {
					t.Errorf("the next caller got %q over connection %d, error %v", body(next), s.dials, next.Err)
				}
			})
		})
	}
}

// Guards against an exchange that outlasts its deadline while a server sends bytes that are no answer one by one.
func TestTrickleEndsAtDeadline(t *testing.T) {
	for name, c := range map[string]struct{ start, repeated string }{
		"header line":  {okHead + "A: ", "a"},
		"status line":  {"", "a"},
		"foreign body": {foreignHead + "\r\n", "x"},
		"own body":     {okHead + "\r\n", "x"},
		"own chunks":   {chunkedHead, "1\r\nx\r\n"},
		"trailers":     {chunkedHead + "0\r\nA: ", "b"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &endlessServer{start: c.start, repeated: c.repeated, pause: 100 * time.Millisecond}
			withEndlessServer(t, s, func(t *testing.T, p *backend.Pool) {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				start := time.Now()
				result := p.Do(ctx, getRequest("/first"))
				if elapsed := time.Since(start); result.Fate != call.MaybeRun || elapsed != 2*time.Second || backend.IsInvalidAnswer(result.Err) {
					t.Errorf("fate %v after %s, error %v", result.Fate, elapsed, result.Err)
				}
				<-s.ended
			})
		})
	}
}

// Guards against a limit that ends a valid answer: one with a long head, and one after some interim answers.
func TestAnswersWithinLimitsAreRead(t *testing.T) {
	for name, answer := range map[string]string{
		"long head":                       okHead + "A: " + strings.Repeat("a", 30<<10) + "\r\nContent-Length: 2\r\n\r\nok",
		"interim answers":                 strings.Repeat(interimHead+"\r\n", 5) + okAnswer("ok"),
		"many lines":                      okHead + strings.Repeat("A: b\r\n", 250) + "Content-Length: 2\r\n\r\nok",
		"interim answers with many lines": strings.Repeat(interimHead+strings.Repeat("A: b\r\n", 200)+"\r\n", 5) + okAnswer("ok"),
		"body of many lines":              okHead + "Content-Length: 2002\r\n\r\n" + strings.Repeat("\n", 2000) + "ok",
	} {
		t.Run(name, func(t *testing.T) {
			address := scriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				write(c, answer)
			})
			p := startPool(t, address, backend.PoolSize{MaxConnections: 1})
			if result := p.Do(t.Context(), getRequest("/x")); strings.TrimLeft(body(result), "\n") != "ok" {
				t.Errorf("fate %v, body %q, error %v", result.Fate, body(result), result.Err)
			}
		})
	}
}

// Guards against a complete head whose short lines take many times its size in memory once they are decoded.
func TestHeadOfTooManyLinesIsInvalid(t *testing.T) {
	for name, start := range map[string]string{"answer": okHead, "interim answer": interimHead + "A: b\r\n\r\n" + okHead} {
		t.Run(name, func(t *testing.T) {
			address := scriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				write(c, start+strings.Repeat("A:\r\n", 5000)+"Content-Length: 2\r\n\r\nok")
			})
			p := startPool(t, address, backend.PoolSize{MaxConnections: 1})
			result := p.Do(t.Context(), getRequest("/x"))
			if result.Fate != call.MaybeRun || !backend.IsInvalidAnswer(result.Err) {
				t.Errorf("fate %v, error %v", result.Fate, result.Err)
			}
		})
	}
}

// Guards against a probe that reads much of an endless answer, and against one that reports a server that sends one as
// answered, or as one that refused the connection, which counts as a crash.
func TestEndlessAnswerToProbe(t *testing.T) {
	for name, c := range map[string]struct{ start, repeated string }{
		"header line":     {okHead + "A: ", "a"},
		"interim answers": {"", interimHead + "\r\n"},
		"body":            {okHead + "Content-Length: 999999999999\r\n\r\n", "x"},
		"body, no length": {okHead + "\r\n", "x"},
		"chunks":          {chunkedHead, "2\r\nxx\r\n"},
		"no answer":       {"", "\x00"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &endlessServer{start: c.start, repeated: c.repeated}
			withEndlessServer(t, s, func(t *testing.T, p *backend.Pool) {
				if got := backend.Probe(t.Context(), p, "atlas", "/health"); got != (backend.ProbeResult{InvalidAnswer: true}) {
					t.Errorf("result %+v, want invalid, neither answered nor refused", got)
				}
				if sent := <-s.ended; sent > acceptedProbe {
					t.Errorf("the server could send %d bytes, at most %d are accepted", sent, acceptedProbe)
				}
			})
		})
	}
}

// Guards against a connection that is held by an answer that its caller does not read, after the request's context has ended.
func TestUnreadStreamFreesConnection(t *testing.T) {
	s := &endlessServer{start: okHead + "Content-Length: 999999999999\r\n\r\n", repeated: "x"}
	withEndlessServer(t, s, func(t *testing.T, p *backend.Pool) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		result := p.Do(ctx, getRequest("/first"))
		if result.Answer == nil || result.Answer.Stream == nil {
			t.Fatalf("result %+v", result)
		}
		ended := time.AfterFunc(time.Minute, func() { _ = result.Answer.Stream.Close() })
		if next := p.Do(t.Context(), getRequest("/next")); body(next) != "/next" || !ended.Stop() {
			t.Errorf("the next caller got %q, error %v; the first one had to end its answer", body(next), next.Err)
		}
		if _, err := result.Answer.Stream.Read(make([]byte, 1)); err == nil || err == io.EOF {
			t.Errorf("reading the answer after its end: %v", err)
		}
		<-s.ended
	})
}

// Guards against log lines with all that a server sent: the errors of net/http quote a malformed line.
func TestErrorOfInvalidAnswerIsShort(t *testing.T) {
	s := &endlessServer{start: strings.Repeat("\x00", 30<<10) + "\r\n", repeated: "x"}
	withEndlessServer(t, s, func(t *testing.T, p *backend.Pool) {
		result := p.Do(t.Context(), getRequest("/first"))
		if !backend.IsInvalidAnswer(result.Err) || len(result.Err.Error()) > 1<<10 {
			t.Errorf("error of %d bytes: %.200s", len(result.Err.Error()), result.Err)
		}
		<-s.ended
	})
}
