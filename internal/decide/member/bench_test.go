package member_test

import (
	"fmt"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/decide/member"
)

// BenchmarkRound measures one round of one instance: its requests, the answers to them, and the requests of others
// that it answers. A simulated fleet of tables is in a steady state.
func BenchmarkRound(b *testing.B) {
	for _, size := range []int{15, 60, 200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFleet(b, 21, size, 2)
			f.rounds(joinRounds, func() {})
			entries := 0
			f.sent = func(_ int, m member.Message) { entries += len(m.Entries) }
			b.ResetTimer()
			for b.Loop() {
				f.rounds(1, func() {})
			}
			rounds := float64(b.N * size)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/rounds, "ns/instance-round")
			b.ReportMetric(float64(entries)/rounds, "entries/instance-round")
		})
	}
}
