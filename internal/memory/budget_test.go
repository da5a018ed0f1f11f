package memory

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
)

// Guards against a body that is cut or changed by the way it is read, a cut one that counts as complete, and memory that is taken
// beyond the budget or not returned.
func TestBodyIsReadWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, size := range []int{1, bodyStep - 1, bodyStep, bodyStep + 1, 3 * bodyStep, 10 * bodyStep} {
			for _, known := range []bool{true, false} {
				b := &Budget{limit: 40 * bodyStep}
				ctx, cancel := context.WithCancel(t.Context())
				text := strings.Repeat("0123456789", size/10+1)[:size]
				length, limit := int64(-1), int64(8*bodyStep)
				if known {
					length, limit = int64(size), 16*bodyStep
				}
				name := fmt.Sprintf("%d bytes, length known %v", size, known)
				lease := b.NewLease(ctx)
				body, err := lease.ReadBody(iotest.HalfReader(strings.NewReader(text)), length, limit)
				if want := text[:min(int64(size), limit+1)]; err != nil || string(body) != want {
					t.Errorf("%s: %d bytes are read, want %d, %v", name, len(body), len(want), err)
				}
				if taken := b.Taken(); taken < int64(len(body)) || taken > 2*int64(len(body))+bodyStep {
					t.Errorf("%s: %d bytes are taken for %d", name, taken, len(body))
				}
				lease.Release()
				lease.Release()
				if b.Taken() != 0 {
					t.Errorf("%s: %d bytes are not returned", name, b.Taken())
				}
				cut := io.MultiReader(strings.NewReader(text[:size/2]), iotest.ErrReader(io.ErrUnexpectedEOF))
				if known {
					cut = strings.NewReader(text[:size/2])
				}
				lease = b.NewLease(ctx)
				if _, err := lease.ReadBody(cut, length, limit); !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Errorf("%s: a cut body ends with %v", name, err)
				}
				cancel()
				if synctest.Wait(); b.Taken() != 0 {
					t.Errorf("%s: %d bytes are not returned at the end of the connection", name, b.Taken())
				}
				b.limit = int64(size) - 1
				if _, err := b.NewLease(t.Context()).ReadBody(strings.NewReader(text), length, limit); b.limit > 0 && !errors.Is(err, ErrExhausted) {
					t.Errorf("%s: read without budget: %v", name, err)
				}
			}
		}
	})
}
