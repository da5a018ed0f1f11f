package balance

import "time"

// limit is the adaptive concurrency limit of one server at one instance.
type limit struct {
	value, most int
	changed     time.Time
}

const (
	// riseFactor is the multiple of the server's typical latency above which an answer lowers the limit.
	riseFactor = 2
	// limitInterval is the minimum time between two changes of a limit, because answers to requests that are already in
	// flight reflect the previous limit.
	limitInterval = 100 * time.Millisecond
)

// bound sets the upper bound of the limit to the number of slots. A limit at its previous bound follows the new one.
func (l *limit) bound(slots int) {
	if l.value == 0 || l.value == l.most || l.value > slots {
		l.value = slots
	}
	l.most = slots
}

func (l *limit) halve() { l.value = max(1, l.value/2) }

// sample lowers the limit by one when an answer is much slower than typical and raises it by one otherwise.
func (l *limit) sample(now time.Time, latency, usual time.Duration, adapt bool) {
	if now.Sub(l.changed) < limitInterval {
		return
	}
	switch {
	case adapt && usual > 0 && latency > riseFactor*usual:
		l.value = max(1, l.value-1)
	case l.value < l.most:
		l.value++
	default:
		return
	}
	l.changed = now
}
