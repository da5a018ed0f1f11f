package frontend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/frontend"
	"fuchsiahub.example/fuchsiahub/internal/memory"
	"fuchsiahub.example/fuchsiahub/internal/standin/memnet"
)

// largeBodyServer accepts bodies of 1 MiB and holds each request until its context ends.
type largeBodyServer struct{ holdingServer }

func (largeBodyServer) MaxBody(string) (int64, error) { return 1 << 20, nil }

// withFrontEnd serves a handler over connections in memory, inside a bubble of virtual time.
func withFrontEnd(t *testing.T, server frontend.Server, bodies *memory.Budget, test func(dial func() net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		listener := memnet.Listen()
		front := &http.Server{Handler: frontend.NewHandler(server, func() string { return "r-1" }, frontend.WithBodies(bodies))}
		go func() { _ = front.Serve(listener) }() // ends with Close
		test(func() net.Conn {
			conn, err := listener.Dial(context.Background(), "", "")
			if err != nil {
				t.Fatal(err)
			}
			return conn
		})
		_ = front.Close()
		synctest.Wait()
		if taken := bodies.Taken(); taken != 0 {
			t.Errorf("%d bytes are not returned", taken)
		}
	})
}

func post(length int) string {
	return "POST /x HTTP/1.1\r\nHost: intake\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

// Guards against bodies of many callers that together exceed the memory of the process, and against one that is refused although
// others have ended.
func TestBodiesTogetherAreBounded(t *testing.T) {
	withFrontEnd(t, largeBodyServer{}, memory.NewBudget(100<<10), func(dial func() net.Conn) {
		first := dial()
		_, _ = io.WriteString(first, post(60<<10)+"x") // the rest never comes
		synctest.Wait()
		second := dial()
		_, _ = io.WriteString(second, post(60<<10))
		answer, err := http.ReadResponse(bufio.NewReader(second), nil)
		if err != nil {
			t.Fatal(err)
		}
		if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") != "1" || !answer.Close ||
			answer.Header.Get(frontend.HeaderOutcome) != "not-run" {
			t.Errorf("the answer to a body beyond the budget is %+v", answer)
		}
		_ = second.Close()
		_ = first.Close()
		synctest.Wait()
		third := dial()
		if _, err := io.WriteString(third, post(60<<10)+strings.Repeat("x", 60<<10)); err != nil {
			t.Errorf("a body is not read after the others have ended: %v", err)
		}
		synctest.Wait()
		_ = third.Close()
	})
}

// Guards against a body that is sent byte by byte and holds its memory without an end, and against a time limit that stays on the
// connection.
func TestTricklingBodyEnds(t *testing.T) {
	withFrontEnd(t, largeBodyServer{holdingServer{&call.Answer{Status: 200, Body: []byte("ok")}}}, memory.NewBudget(1<<20),
		func(dial func() net.Conn) {
			slow, kept := dial(), dial()
			began := time.Now()
			go func() {
				_, err := io.WriteString(slow, post(1<<10))
				for ; err == nil; time.Sleep(time.Second) {
					_, err = io.WriteString(slow, "x")
				}
			}()
			answer, err := http.ReadResponse(bufio.NewReader(slow), nil)
			if err != nil || answer.StatusCode != http.StatusBadRequest || time.Since(began) > 31*time.Second {
				t.Errorf("after %s: %+v, %v", time.Since(began), answer, err)
			}
			_ = slow.Close()
			reader := bufio.NewReader(kept)
			for range 2 {
				_, _ = io.WriteString(kept, post(2)+"xx")
				if answer, err = http.ReadResponse(reader, nil); err != nil || answer.StatusCode != http.StatusOK {
					t.Fatalf("request on a kept connection: %+v, %v", answer, err)
				}
				_, _ = io.Copy(io.Discard, answer.Body)
				time.Sleep(40 * time.Second)
			}
			_ = kept.Close()
		})
}
