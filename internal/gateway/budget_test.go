package gateway

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/memory"
)

// withoutPipelinedBudget returns a test whose budget of pipelined requests is used up by others.
func withoutPipelinedBudget(t *testing.T) *connectionTest {
	test := newConnectionTest(t)
	test.server.requests.pipelined = memory.NewBudget(pipelinedBytes)
	if !test.server.requests.pipelined.Take(pipelinedBytes) {
		t.Fatal("the budget is too small")
	}
	return test
}

// Guards against answers that are ready and never written: a connection that had no budget for a next request did not hear that
// its reading goroutine had stopped, and waited for that until the end of the process (review/6).
func TestAnswersAreWrittenWithoutBudget(t *testing.T) {
	for _, pipelined := range []int{1, 2, 3, 7} {
		for _, stop := range []string{"", "before the answers", "between the answers"} {
			t.Run(fmt.Sprintf("%d requests, stop %s", pipelined, stop), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					test := withoutPipelinedBudget(t)
					conn := test.connect()
					conn.send(strings.Repeat(testPost, pipelined))
					synctest.Wait()
					begin := time.Now()
					for n := range pipelined {
						if stop == "before the answers" && n == 0 || stop == "between the answers" && n == 1 {
							close(test.leaving)
							close(test.closingIdle)
							synctest.Wait()
						}
						if !test.refuse() {
							t.Fatalf("request %d is not taken up", n+1)
						}
						conn.expectRefusal(fmt.Sprint("request ", n+1))
					}
					if stop != "" && (pipelined > 1 || stop == "before the answers") {
						conn.expectEnd()
					}
					if elapsed := time.Since(begin); elapsed > time.Second {
						t.Errorf("the answers came after %s", elapsed)
					}
				})
			})
		}
	}
}

// Guards against a caller whose leaving is not noticed, so that its request is passed on and run for nothing, while the budget of
// pipelined requests is used up.
func TestCallerThatLeavesIsNoticedWithoutBudget(t *testing.T) {
	for _, pipelined := range []int{1, 2} {
		t.Run(fmt.Sprint(pipelined, " requests"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				test := withoutPipelinedBudget(t)
				conn := test.connect()
				conn.send(strings.Repeat(testPost, pipelined))
				synctest.Wait()
				m := <-test.director.C()
				_ = conn.Close()
				synctest.Wait()
				if n := test.registry.Get("gateway.abandoned").(metrics.Counter).Count(); n != 1 {
					t.Errorf("%d requests are abandoned", n)
				}
				m.(placeRequest).reply(placeRefusal{reason: reasonNoRoom})
			})
		})
	}
}
