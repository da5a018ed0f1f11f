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
	badMessages, failedCalls, sentBytes, receivedBytes metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		badMessages:   metrics.GetOrRegisterCounter(MetricBad, r),
		failedCalls:   metrics.GetOrRegisterCounter(MetricFailed, r),
		sentBytes:     metrics.GetOrRegisterCounter(MetricSent, r),
		receivedBytes: metrics.GetOrRegisterCounter(MetricReceived, r),
	}
}
