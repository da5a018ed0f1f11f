package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/memory"
)

// Guards against large bodies that together exceed the memory of the process, which is then killed with the requests of all
// callers (review/2): what does not fit is refused at once as not run, and fits again when the others have ended.
func TestBodiesBeyondBudgetAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		test.server.requests.bodies = memory.NewBudget(100 << 10)
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
		if taken := test.server.requests.bodies.Taken(); taken != 0 {
			t.Errorf("%d bytes are not returned", taken)
		}
	})
}

// Guards against pipelined requests that together exceed the memory of the process, against one that is refused or lost for that
// reason, and against memory that is not returned.
func TestPipelinedRequestsWaitForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		budget := memory.NewBudget(2 * pipelinedBytes)
		test.server.requests.pipelined = budget
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
		if taken := budget.Taken(); taken != 0 {
			t.Errorf("%d bytes are not returned", taken)
		}
	})
}

// Guards against heads that take many times their size in memory, and together exceed that of the process.
func TestHeadsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		test := newConnectionTest(t)
		test.server.requests.bodies = memory.NewBudget(60 << 10)
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
		if taken := test.server.requests.bodies.Taken(); taken != 0 {
			t.Errorf("%d bytes are not returned", taken)
		}
	})
}
