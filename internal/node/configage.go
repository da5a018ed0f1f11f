package node

import (
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

const (
	// configBound is the time within which a change of the configuration has to be in force everywhere.
	configBound = 9 * time.Second
	// ageCheckInterval is the interval at which the age of the configuration is checked.
	ageCheckInterval = time.Second
	// ageReportInterval is the minimum time between two reports of a configuration that stays too old.
	ageReportInterval = 30 * time.Second
)

// MetricConfigAge is the age of the configuration, in milliseconds: the longest time, over its kinds, since the object API has
// shown what it holds.
const MetricConfigAge = "config.age_ms"

// configAge reports when the configuration may lack a confirmed change, and why. It belongs to the configuration task and is the
// context of charts/staleness.toml.
type configAge struct {
	config  *Config
	machine *chart.Machine[*configAge]
	started time.Time
	// asOf is the time at which the known documents of a kind were surely those that the object API held. Documents of peers
	// do not count: the peer may lack the same change.
	asOf       map[objectapi.Kind]time.Time
	reportedAt time.Time
}

func newConfigAge(c *Config) (*configAge, error) {
	ch, err := charts.Load("staleness", nil)
	if err != nil {
		return nil, err
	}
	bound, err := chart.Bind(ch, chart.Bindings[*configAge]{
		Guards: map[string]func(*configAge) bool{
			"report_due": func(a *configAge) bool { return time.Since(a.reportedAt) >= ageReportInterval },
		},
		Actions: map[string]func(*configAge){
			"count_stale":  func(a *configAge) { a.config.overdue.Inc(1) },
			"report_stale": (*configAge).reportStale,
			"report_fresh": func(a *configAge) { a.config.options.Log.Info("configuration is recent again") },
		},
	})
	if err != nil {
		return nil, err
	}
	now := time.Now()
	a := &configAge{config: c, started: now, asOf: map[objectapi.Kind]time.Time{}}
	a.machine = bound.New(now, a)
	return a, nil
}

// refresh records that the known documents of a kind were current at a time.
func (a *configAge) refresh(kind objectapi.Kind, asOf time.Time) {
	if a.asOf[kind].Before(asOf) {
		a.asOf[kind] = asOf
	}
}

// oldest returns the kind whose documents have been known for the longest time, and their age.
func (a *configAge) oldest(now time.Time) (oldest objectapi.Kind, age time.Duration) {
	for _, kind := range configKinds {
		asOf, known := a.asOf[kind]
		if !known {
			asOf = a.started
		}
		if d := now.Sub(asOf); d >= age {
			oldest, age = kind, d
		}
	}
	return oldest, age
}

// check records the age and compares it with the bound.
func (a *configAge) check(now time.Time) {
	_, age := a.oldest(now)
	a.config.ageGauge.Update(age.Milliseconds())
	event := "within_bound"
	if age > configBound {
		event = "beyond_bound"
	}
	if err := a.machine.Fire(now, event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

func (a *configAge) reportStale() {
	now := time.Now()
	kind, age := a.oldest(now)
	a.reportedAt = now
	a.config.options.Log.Warn("configuration is older than it may be", "kind", string(kind), "age_ms", age.Milliseconds(),
		"bound_ms", configBound.Milliseconds(), "error", a.config.sources.watchErrors[kind])
}
