package balance

import "time"

// limit is the adaptive concurrency limit of one server at one instance.
type limit struct {
	value, maximum int
	changedAt      time.Time
}

const (
	// latencyRiseFactor is the multiple of the server's typical latency above which an answer lowers the limit.
	latencyRiseFactor = 2
	// limitInterval is the minimum time between two changes of a limit, because answers to requests that are already in
	// flight reflect the previous limit.
	limitInterval = 100 * time.Millisecond
)

// setMaximum sets the maximum of the limit to the number of slots. A limit at its previous maximum follows the new one.
func (l *limit) setMaximum(slots int) {
	if l.value == 0 || l.value == l.maximum || l.value > slots {
		l.value = slots
	}
	l.maximum = slots
}

func (l *limit) halve() { l.value = max(1, l.value/2) }

// adjust lowers the limit by one when an answer is much slower than typical and raises it by one otherwise.
func (l *limit) adjust(now time.Time, latency, typical time.Duration, adapt bool) {
	if now.Sub(l.changedAt) < limitInterval {
		return
	}
	switch {
	case adapt && typical > 0 && latency > latencyRiseFactor*typical:
		l.value = max(1, l.value-1)
	case l.value < l.maximum:
		l.value++
	default:
		return
	}
	l.changedAt = now
}
