package balance

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/chart"
)

// zone is the state of one availability zone in a fleet. It is the context of charts/zone.toml.
type zone struct {
	name    string
	fleet   *Fleet
	machine *chart.Machine[*zone]
}

const (
	// shiftDuration is how long the share of a leaving zone takes to fall to zero. It is less than the 3 s after which the
	// zone must get no new requests.
	shiftDuration = 2500 * time.Millisecond
	// returnDuration is how long the share of a returning zone takes to rise. It equals the default of $zone_return.
	returnDuration = 10 * time.Second
	// initialReturnShare is the initial share of a returning zone.
	initialReturnShare = 0.05
)

func bindZone(ch *chart.Chart) (*chart.Bound[*zone], error) {
	return chart.Bind(ch, chart.Bindings[*zone]{
		Observe: func(z *zone, from, event, to string) {
			z.fleet.recordChange(Change{Zone: z.name, From: from, Event: event, To: to})
		},
	})
}

// newZone returns a zone. A zone that is out when the instance starts gets no requests, because its shift is treated as
// completed.
func newZone(f *Fleet, now time.Time, name string, out bool) *zone {
	z := &zone{name: name, fleet: f}
	longAgo := now.Add(-time.Hour)
	z.machine = f.zoneChart.New(longAgo, z)
	z.setOut(longAgo, out)
	z.machine.Tick(now)
	return z
}

func (z *zone) setOut(now time.Time, out bool) {
	event := "bring_in"
	if out {
		event = "take_out"
	}
	if err := z.machine.Fire(now, event); err != nil {
		panic(err) // events are constants in this package, so an unknown one is a programming error
	}
}

// share returns the fraction of new requests, from 0 to 1, for which the zone's servers are candidates.
func (z *zone) share(now time.Time) float64 {
	elapsed := now.Sub(z.machine.Since())
	switch {
	case z.machine.In("serving"):
		return 1
	case z.machine.In("leaving"):
		return max(0, 1-float64(elapsed)/float64(shiftDuration))
	case z.machine.In("returning"):
		return min(1, initialReturnShare+float64(elapsed)/float64(returnDuration))
	}
	return 0
}
