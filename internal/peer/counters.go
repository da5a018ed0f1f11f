package peer

import "github.com/rcrowley/go-metrics"

// Names of the metrics of this package.
const (
	// MetricBad counts messages from peers that were rejected: malformed, too large or of an unknown version.
	MetricBad = "peer.bad_messages"
	// MetricFailed counts calls to peers that received no answer.
	MetricFailed = "peer.failed_calls"
	// MetricSent and MetricReceived count bytes on peer connections.
	MetricSent     = "peer.sent_bytes"
	MetricReceived = "peer.received_bytes"
)

type counters struct {
	bad, failed, sent, received metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		bad:      metrics.GetOrRegisterCounter(MetricBad, r),
		failed:   metrics.GetOrRegisterCounter(MetricFailed, r),
		sent:     metrics.GetOrRegisterCounter(MetricSent, r),
		received: metrics.GetOrRegisterCounter(MetricReceived, r),
	}
}
