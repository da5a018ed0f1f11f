package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"
)

// Guards against a body that is cut or changed by the way it is read, a cut one that counts as complete, and memory that is taken
// beyond the budget or not returned.
func TestBodyIsReadWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, size := range []int{1, bodyStep - 1, bodyStep, bodyStep + 1, 3 * bodyStep, 10 * bodyStep} {
			for _, known := range []bool{true, false} {
				b := &bodyBudget{limit: 40 * bodyStep}
				ctx, cancel := context.WithCancel(t.Context())
				text := strings.Repeat("0123456789", size/10+1)[:size]
				length, limit := int64(-1), int64(8*bodyStep)
				if known {
					length, limit = int64(size), 16*bodyStep
				}
				name := fmt.Sprintf("%d bytes, length known %v", size, known)
				lease := b.newLease(ctx)
				body, err := lease.readBody(iotest.HalfReader(strings.NewReader(text)), length, limit)
				if want := text[:min(int64(size), limit+1)]; err != nil || string(body) != want {
					t.Errorf("%s: %d bytes are read, want %d, %v", name, len(body), len(want), err)
				}
				if taken := b.taken.Load(); taken < int64(len(body)) || taken > 2*int64(len(body))+bodyStep {
					t.Errorf("%s: %d bytes are taken for %d", name, taken, len(body))
				}
				lease.release()
				lease.release()
				if b.taken.Load() != 0 {
					t.Errorf("%s: %d bytes are not returned", name, b.taken.Load())
				}
				cut := io.MultiReader(strings.NewReader(text[:size/2]), iotest.ErrReader(io.ErrUnexpectedEOF))
				if known {
					cut = strings.NewReader(text[:size/2])
				}
				lease = b.newLease(ctx)
				if _, err := lease.readBody(cut, length, limit); !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Errorf("%s: a cut body ends with %v", name, err)
				}
				cancel()
				if synctest.Wait(); b.taken.Load() != 0 {
					t.Errorf("%s: %d bytes are not returned at the end of the connection", name, b.taken.Load())
				}
				b.limit = int64(size) - 1
				if _, err := b.newLease(t.Context()).readBody(strings.NewReader(text), length, limit); b.limit > 0 && !errors.Is(err, errNoMemory) {
					t.Errorf("%s: read without budget: %v", name, err)
				}
			}
		}
	})
}

// Guards against large bodies that together exceed the memory of the process, which is then killed with the requests of all
// callers (review/2): what does not fit is refused at once as not run, and fits again when the others have ended.
func TestBodiesBeyondBudgetAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		test.server.requests.bodies.limit = 100 << 10
		post := func(size int) *testConn {
			conn := test.connect()
			conn.send(fmt.Sprintf("POST /crew HTTP/1.1\r\nHost: hotline\r\nContent-Length: %d\r\n\r\n", size))
			return conn
		}
		first, second := post(60<<10), post(30<<10)
		r, err := post(60 << 10).answer()
		if err != nil || r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == "" || !r.Close {
			t.Errorf("answer to a body beyond the budget: %+v, %v", r, err)
		}
		second.send(strings.Repeat("x", 30<<10))
		if !test.refuse() {
			t.Error("a body within the budget is not passed on")
		}
		second.expectRefusal("body within the budget")
		_ = first.Close()
		time.Sleep(time.Second)
		third := post(90 << 10)
		third.send(strings.Repeat("x", 90<<10))
		if !test.refuse() {
			t.Error("a body is not passed on although the others have ended")
		}
		third.expectRefusal("body after the others have ended")
		if taken := test.server.requests.bodies.taken.Load(); taken != 0 {
			t.Errorf("%d bytes are not returned", taken)
		}
	})
}

// Guards against pipelined requests that together exceed the memory of the process, against one that is refused or lost for that
// reason, and against memory that is not returned.
func TestPipelinedRequestsWaitForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		budget := test.server.requests.pipelined
		budget.limit = 2 * pipelinedBytes
		conn, other := test.connect(), test.connect()
		const sent = 10
		conn.send(strings.Repeat(testPost, sent))
		synctest.Wait()
		if waiting := test.director.Len(); waiting != 3 {
			t.Errorf("%d requests are taken up, want one and two behind it", waiting)
		}
		other.send(testPost)
		synctest.Wait()
		if waiting := test.director.Len(); waiting != 4 {
			t.Errorf("%d requests are taken up after that of another caller, want 4", waiting)
		}
		for n := range sent + 1 {
			if !test.refuse() {
				t.Fatalf("only %d requests are taken up", n)
			}
			if n == 3 {
				other.expectRefusal("request of another caller")
				continue
			}
			conn.expectRefusal("pipelined request")
		}
		conn.send(strings.Repeat(testPost, 5))
		synctest.Wait()
		_ = conn.Close()
		for test.refuse() { // the requests that were taken up
		}
		if taken := budget.taken.Load(); taken != 0 {
			t.Errorf("%d bytes are not returned", taken)
		}
	})
}

// Guards against heads that take many times their size in memory, and together exceed that of the process.
func TestHeadsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		test.server.requests.bodies.limit = 60 << 10
		get := func(lines int, length int) *testConn {
			conn := test.connect()
			conn.send("GET /crew HTTP/1.1\r\nHost: hotline\r\n" + strings.Repeat("A: "+strings.Repeat("a", length)+"\r\n", lines) + "\r\n")
			return conn
		}
		for _, lines := range []int{maxHeadLines, 10 * maxHeadLines} {
			if r, err := get(lines, 1).answer(); err != nil || r.StatusCode != http.StatusRequestHeaderFieldsTooLarge || !r.Close {
				t.Errorf("answer to a head of %d lines: %+v, %v", lines, r, err)
			}
		}
		first := get(200, 20) // takes more than half of the budget
		synctest.Wait()
		if r, err := get(200, 20).answer(); err != nil || r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == "" {
			t.Errorf("answer to a head beyond the budget: %+v, %v", r, err)
		}
		short := get(3, 20)
		for _, conn := range []*testConn{first, short} {
			if !test.refuse() {
				t.Error("a request is not passed on")
			}
			conn.expectRefusal("request within the budget")
		}
		synctest.Wait()
		if taken := test.server.requests.bodies.taken.Load(); taken != 0 {
			t.Errorf("%d bytes are not returned", taken)
		}
	})
}
