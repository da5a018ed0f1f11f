package once_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/claimobject"
	"fuchsiahub.example/fuchsiahub/internal/decide/once"
)

func digestOfNumber(n int) once.Digest {
	var d once.Digest
	binary.BigEndian.PutUint64(d[:], uint64(n)*0x9e3779b97f4a7c15)
	binary.BigEndian.PutUint64(d[8:], uint64(n))
	return d
}

// workload simulates a partition under load in virtual time, with a fixed latency of the object API.
type workload struct {
	*owner
	rnd           *rand.Rand
	claims        int
	sentAt        map[uint64]time.Time
	unsettled     []int // numbers of granted claims, oldest first
	callsInFlight []once.Effect
	callsDoneAt   time.Time
	writes        int
	bytes         int
	granted       int
	refused       int
	totalWait     time.Duration
}

const storeLatency = 2 * time.Millisecond

func newWorkload(b *testing.B, seed uint64, burst int) *workload {
	b.Helper()
	return &workload{owner: newBudgetOwner(b, newStore(), burst), rnd: rand.New(rand.NewPCG(seed, 1)), sentAt: map[uint64]time.Time{}}
}

// newBudgetOwner returns an owner with a budget of 50 writes a second: the default of 200, divided among 4 partitions. If
// burst is zero, every write waits for the interval.
func newBudgetOwner(b *testing.B, s *fakeStore, burst int) *owner {
	b.Helper()
	return newOwner(b, "entry-1", s, once.Limits{
		MaxHeadEntries: 2000, MaxPending: 4096, AnswerCacheBytes: 4 << 20, CommitInterval: 20 * time.Millisecond, WriteBurst: burst,
	})
}

// run simulates a time with claims at random times, each settled 50 ms after it was sent.
func (t *workload) run(length time.Duration, perSecond float64) {
	for end := t.now.Add(length); t.now.Before(end); {
		t.now = t.now.Add(time.Millisecond)
		t.Tick(t.now, t.view)
		for arrival := t.rnd.ExpFloat64(); arrival < perSecond/1000; arrival += t.rnd.ExpFloat64() {
			t.sendClaim()
		}
		t.settleDue()
		t.runDueEffects()
	}
}

func (t *workload) sendClaim() {
	t.claims++
	t.ticket++
	t.sentAt[t.ticket] = t.now
	t.Claim(t.now, t.view, once.ClaimRequest{Digest: digestOfNumber(t.claims), Window: time.Hour, Holder: entry1, Attempt: t.ticket, Ticket: t.ticket})
}

func (t *workload) settleDue() {
	for len(t.unsettled) > 0 && t.sentAt[uint64(t.unsettled[0])].Add(50*time.Millisecond).Before(t.now) {
		n := t.unsettled[0]
		t.unsettled = t.unsettled[1:]
		delete(t.sentAt, uint64(n))
		t.Settle(t.now, t.view, once.SettleRequest{Digest: digestOfNumber(n), Window: time.Hour, Holder: entry1, Attempt: uint64(n), Settlement: once.Answered})
	}
}

func (t *workload) runDueEffects() {
	for _, e := range t.Effects() {
		switch e := e.(type) {
		case once.Reply:
			t.countReply(e)
		case once.Confirmation:
		default:
			t.callsInFlight = append(t.callsInFlight, e)
			t.callsDoneAt = t.now.Add(storeLatency)
		}
	}
	if len(t.callsInFlight) == 0 || t.now.Before(t.callsDoneAt) {
		return
	}
	calls := t.callsInFlight
	t.callsInFlight = nil
	for _, e := range calls {
		t.countWrite(e)
		t.HandleStoreAnswer(t.now, t.view, t.store.call(e))
	}
	t.runDueEffects()
}

func (t *workload) countReply(r once.Reply) {
	if r.Verdict != once.Granted {
		t.refused++
		return
	}
	t.granted++
	t.totalWait += t.now.Sub(t.sentAt[r.Ticket])
	t.unsettled = append(t.unsettled, int(r.Ticket))
}

func (t *workload) countWrite(e once.Effect) {
	switch e := e.(type) {
	case once.WriteHead:
		t.writes++
		t.bytes += len(claimobject.Head(e.Head))
	case once.WriteSegment:
		t.writes++
		t.bytes += len(claimobject.Segment(e.Entries))
	}
}

// BenchmarkLoad reports the writes, bytes and waiting time of one of 4 partitions for claims at a given rate, in virtual
// time.
func BenchmarkLoad(b *testing.B) {
	for _, load := range []struct{ perSecond, seconds float64 }{{1, 60}, {10, 60}, {30, 60}, {100, 60}, {1000, 60}, {4000, 60}, {100, 4000}} {
		for _, burst := range []int{0, daemonBurst} {
			b.Run(fmt.Sprintf("claims=%g/seconds=%g/burst=%d", load.perSecond, load.seconds, burst), func(b *testing.B) {
				for b.Loop() {
					t := newWorkload(b, 1, burst)
					t.run(time.Duration(load.seconds)*time.Second, load.perSecond)
					b.ReportMetric(float64(t.writes)/load.seconds, "writes/s")
					b.ReportMetric(float64(t.bytes)/float64(t.granted), "B-written/claim")
					b.ReportMetric(float64(t.totalWait.Microseconds())/float64(t.granted)/1000, "ms-wait/claim")
					b.ReportMetric(float64(t.refused), "refused")
				}
			})
		}
	}
}

// daemonBurst is the burst that the daemon configures.
const daemonBurst = 10

// BenchmarkOutage reports the number of claims refused while the object API is down for 10 s, and after it.
func BenchmarkOutage(b *testing.B) {
	for b.Loop() {
		t := newWorkload(b, 1, daemonBurst)
		t.run(10*time.Second, 100)
		before := t.refused
		t.store.down = true
		sent := t.claims
		t.run(10*time.Second, 100)
		sent = t.claims - sent
		t.store.down = false
		t.run(10*time.Second, 100)
		b.ReportMetric(float64(before), "refused-before")
		b.ReportMetric(float64(sent), "asked-during")
		b.ReportMetric(float64(t.refused-before), "refused")
	}
}

// BenchmarkClaim reports the time of one claim and its settlement in group commits of 100, including the encoding of the
// objects, with a given number of claims in the window.
func BenchmarkClaim(b *testing.B) {
	for _, kept := range []int{0, 300_000} {
		b.Run(fmt.Sprintf("kept=%d", kept), func(b *testing.B) {
			t := newWorkload(b, 1, daemonBurst)
			for t.claims < kept {
				t.batch(1000)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := 0; n < b.N; n += 100 {
				t.batch(100)
			}
		})
	}
}

// batch commits a number of claims together and settles them with the next batch.
func (t *workload) batch(size int) {
	t.settleDue()
	for range size {
		t.sendClaim()
	}
	for range 30 {
		t.now = t.now.Add(2 * time.Millisecond)
		t.Tick(t.now, t.view)
		t.runDueEffects()
	}
}

// BenchmarkTakeover reports how long a new owner takes to load a window of 360,000 claims, in virtual time with 8
// concurrent reads, and in CPU time.
func BenchmarkTakeover(b *testing.B) {
	before := newWorkload(b, 1, daemonBurst)
	for before.claims < 360_000 {
		before.batch(300)
	}
	for claims := before.claims; b.Loop(); claims++ {
		t := &workload{owner: newBudgetOwner(b, before.store, daemonBurst), sentAt: map[uint64]time.Time{}, claims: claims}
		t.sendClaim()
		for range 10_000 { // 10 s of virtual time
			t.now = t.now.Add(time.Millisecond)
			t.Tick(t.now, t.view)
			t.runDueEffects()
			if t.granted > 0 {
				break
			}
		}
		if t.granted == 0 {
			state, _ := t.State()
			b.Fatalf("the partition is %s after 10 s; %d claims were refused", state, t.refused)
		}
		b.ReportMetric(float64(len(before.store.segments)), "segments")
		b.ReportMetric(float64(t.totalWait.Milliseconds()), "ms-virtual")
	}
}

// BenchmarkMemory reports the heap memory per claim in the window.
func BenchmarkMemory(b *testing.B) {
	const kept = 400_000
	for b.Loop() {
		t := newWorkload(b, 1, daemonBurst)
		before := heapBytes()
		for t.claims < kept {
			t.batch(1000)
		}
		t.store, t.sentAt, t.unsettled = nil, nil, nil
		b.ReportMetric(float64(heapBytes()-before)/kept, "B-heap/claim")
		runtime.KeepAlive(t.owner)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
