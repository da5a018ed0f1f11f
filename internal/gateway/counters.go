package gateway

import "github.com/rcrowley/go-metrics"

// counters are the measurements of a gateway.
type counters struct {
	registry metrics.Registry
	// requests counts requests that were read; the others count how they ended.
	requests, answered, refused, failed, expired, abandoned metrics.Counter
	// resent counts copies beyond the first, hedged those that were sent while another was on its way.
	resent, hedged, resendRefused metrics.Counter
	// checks counts health checks of backend servers.
	checks metrics.Counter
	// callers is the number of open connections of callers.
	callers metrics.Gauge
	// time is the time of answered requests at this instance, in microseconds.
	time metrics.Histogram
}

// reservoirSize and reservoirAlpha are those of go-metrics for a decaying sample of five minutes.
const (
	reservoirSize  = 512
	reservoirAlpha = 0.015
)

func newCounters(registry metrics.Registry) *counters {
	return &counters{
		registry: registry,
		requests: metrics.GetOrRegisterCounter("gateway.requests", registry), answered: metrics.GetOrRegisterCounter("gateway.answered", registry), refused: metrics.GetOrRegisterCounter("gateway.refused", registry),
		failed: metrics.GetOrRegisterCounter("gateway.failed", registry), expired: metrics.GetOrRegisterCounter("gateway.expired", registry), abandoned: metrics.GetOrRegisterCounter("gateway.abandoned", registry),
		resent: metrics.GetOrRegisterCounter("gateway.resent", registry), hedged: metrics.GetOrRegisterCounter("gateway.hedged", registry), resendRefused: metrics.GetOrRegisterCounter("gateway.resend_refused", registry),
		checks: metrics.GetOrRegisterCounter("gateway.checks", registry), callers: metrics.GetOrRegisterGauge("gateway.callers", registry),
		time: metrics.GetOrRegisterHistogram("gateway.time_us", registry, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)),
	}
}
