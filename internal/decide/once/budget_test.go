package once_test

import (
	"encoding/binary"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/once"
)

// Guards against bursts that exceed the write budget over time, and against a claim that waits although the budget allows
// an immediate write.
func TestBurstKeepsWriteBudget(t *testing.T) {
	const interval, burst, length = 20 * time.Millisecond, 10, 20 * time.Second
	for _, claimInterval := range []time.Duration{time.Millisecond, 40 * time.Millisecond} {
		s := newStore()
		o := newOwner(t, "entry-1", s, once.Limits{MaxHeadEntries: 1 << 20, MaxPending: 100, AnswerCacheBytes: 1 << 20, CommitInterval: interval, WriteBurst: burst})
		waited, n := 0, uint64(0)
		for end := o.now.Add(length); o.now.Before(end); n++ {
			o.now = o.now.Add(claimInterval)
			o.Tick(o.now, o.view)
			var d once.Digest
			binary.BigEndian.PutUint64(d[:], n+1)
			o.Claim(o.now, o.view, once.ClaimRequest{Digest: d, Window: time.Hour, Holder: entry1, Attempt: n, Ticket: n + 1})
			o.runEffects()
			if _, answered := o.replies[n+1]; !answered {
				waited++
			}
		}
		if maxWrites := uint64(length/interval) + burst + 1; s.version > maxWrites {
			t.Errorf("a claim every %v: %d writes, the budget allows %d", claimInterval, s.version, maxWrites)
		}
		if claimInterval > interval && waited > 0 {
			t.Errorf("a claim every %v: %d of %d claims waited", claimInterval, waited, n)
		}
	}
}
