package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// counters holds the metrics of a gateway. The types of go-metrics may be used by any task.
type counters struct {
	registry metrics.Registry
	// requests counts the requests that were read, the others their outcomes.
	requests, answered, refused, failed, expired, abandoned metrics.Counter
	// invalidAnswers counts the answers of backend servers to copies and health checks whose bytes were no answer, cutAnswers
	// the long answers that broke off or did not end in the time of the request.
	invalidAnswers, cutAnswers metrics.Counter
	// resent counts copies after the first, hedged those that were sent while another was in flight, and resendRefused those
	// that the resend budget did not allow.
	resent, hedged, resendRefused metrics.Counter
	// foreignAnswers counts answers of backend servers that belong to another request, to none, or to an unknown one.
	foreignAnswers metrics.Counter
	// checks counts health checks of backend servers.
	checks metrics.Counter
	// invalidObjects counts revisions of objects of the store that are not valid.
	invalidObjects metrics.Counter
	// callers is the number of open caller connections, placing the number of placements that wait for load reports.
	callers, placing metrics.Gauge
	// newsAge, configAge and evacuationsAge are the ages of the known entries of backend servers, of the known configuration
	// and of the known evacuations, in milliseconds.
	newsAge, configAge, evacuationsAge metrics.Gauge
	// storeReturns counts the returns of the store from an older copy, unreadableEras the answers of the store whose era cannot be
	// read. storeEra is the era of the store, -1 while none is known.
	storeReturns, unreadableEras metrics.Counter
	storeEra                     metrics.Gauge
	// configOverdue counts how often the configuration or the evacuations became older than they may be.
	configOverdue metrics.Counter
	// time is the time that answered requests spent at this instance, in microseconds.
	time metrics.Histogram
	// takeup is the time from when a request was read until its connection's task took it up, in microseconds.
	takeup metrics.Histogram
}

// reservoirSize and reservoirAlpha are the parameters of go-metrics for an exponentially decaying sample of about the last
// five minutes.
const (
	reservoirSize  = 512
	reservoirAlpha = 0.015
)

func newCounters(registry metrics.Registry) *counters {
	c := &counters{
		registry:       registry,
		requests:       metrics.GetOrRegisterCounter("gateway.requests", registry),
		answered:       metrics.GetOrRegisterCounter("gateway.answered", registry),
		refused:        metrics.GetOrRegisterCounter("gateway.refused", registry),
		failed:         metrics.GetOrRegisterCounter("gateway.failed", registry),
		expired:        metrics.GetOrRegisterCounter("gateway.expired", registry),
		abandoned:      metrics.GetOrRegisterCounter("gateway.abandoned", registry),
		invalidAnswers: metrics.GetOrRegisterCounter("gateway.invalid_answers", registry),
		foreignAnswers: metrics.GetOrRegisterCounter("gateway.foreign_answers", registry),
		cutAnswers:     metrics.GetOrRegisterCounter("gateway.cut_answers", registry),
		resent:         metrics.GetOrRegisterCounter("gateway.resent", registry),
		hedged:         metrics.GetOrRegisterCounter("gateway.hedged", registry),
		resendRefused:  metrics.GetOrRegisterCounter("gateway.resend_refused", registry),
		checks:         metrics.GetOrRegisterCounter("gateway.checks", registry),
		invalidObjects: metrics.GetOrRegisterCounter("gateway.invalid_objects", registry),
		callers:        metrics.GetOrRegisterGauge("gateway.callers", registry),
		placing:        metrics.GetOrRegisterGauge("gateway.placing", registry),
		newsAge:        metrics.GetOrRegisterGauge("gateway.news_age_ms", registry),
		configAge:      metrics.GetOrRegisterGauge("gateway.config_age_ms", registry),
		evacuationsAge: metrics.GetOrRegisterGauge("gateway.evacuations_age_ms", registry),
		configOverdue:  metrics.GetOrRegisterCounter("gateway.config_overdue", registry),
		storeReturns:   metrics.GetOrRegisterCounter("gateway.store_returns", registry),
		unreadableEras: metrics.GetOrRegisterCounter("gateway.unreadable_eras", registry),
		storeEra:       metrics.GetOrRegisterGauge("gateway.store_era", registry),
		time: metrics.GetOrRegisterHistogram("gateway.time_us", registry,
			metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)),
		takeup: metrics.GetOrRegisterHistogram("gateway.takeup_us", registry,
			metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)),
	}
	c.storeEra.Update(-1)
	return c
}

// recordAge records the age of the known objects of a kind.
func (c *counters) recordAge(kind objectapi.Kind, age time.Duration) {
	gauge := c.newsAge
	switch kind {
	case objectapi.Configuration:
		gauge = c.configAge
	case objectapi.Evacuations:
		gauge = c.evacuationsAge
	}
	gauge.Update(age.Milliseconds())
}

// refuse counts a refusal and its reason.
func (c *counters) refuse(r reason) {
	c.refused.Inc(1)
	metrics.GetOrRegisterCounter("gateway.refused_for."+r.code, c.registry).Inc(1)
}

// answer counts an answer of a backend server of a service and the time that the request spent at this instance.
func (c *counters) answer(service string, idempotent bool, elapsed time.Duration) {
	c.answered.Inc(1)
	c.time.Update(elapsed.Microseconds())
	kind := "once"
	if idempotent {
		kind = "repeatable"
	}
	sample := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}
	c.registry.GetOrRegister("gateway.service_time_ms."+service+"."+kind, sample).(metrics.Histogram).
		Update(elapsed.Milliseconds())
}

// resendsLeft records the number of resends of a service that the budget of this instance still allows.
func (c *counters) resendsLeft(service string, left float64) {
	metrics.GetOrRegisterGauge("gateway.resends_left."+service, c.registry).Update(int64(left))
}
