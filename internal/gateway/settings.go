package gateway

import (
	"log/slog"
	"net"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

// Settings are what an instance is told about itself and its deployment.
type Settings struct {
	// Name is the name of the instance.
	Name string
	// Host is its IP address.
	Host  string
	Place fleet.Place
	// Share is the part of a processor core that it has, times the speed of the core.
	Share float64
	// MaxFiles bounds its descriptors; zero sets no bound.
	MaxFiles int
	// CallerAddress takes requests, ReadinessAddress answers the platform's balancer.
	CallerAddress, ReadinessAddress string
	// ReadinessPath is the path on which the balancer asks.
	ReadinessPath string
	// PeerAddress answers other instances.
	PeerAddress string
	// Seeds are peer addresses of some instances. They may be out of date.
	Seeds []string
	// MetricsAddress serves counters and histograms; empty serves none.
	MetricsAddress string
	// LogLevel is the least level that is logged.
	LogLevel slog.Level
	// FirstStart is true only when all instances start for the first time.
	FirstStart bool
	// StoreAddress is that of the platform's store.
	StoreAddress string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	Bounds  Bounds
	Timing  Timing
}

// Timing holds the times that depend on how fast machines and networks are. The platform sets none of them.
type Timing struct {
	// Near is how long a placement waits for the reports of servers of the own region, Far the same for other regions,
	// and Most when no server has reported at all.
	Near, Far, Most time.Duration
	// Check bounds a health check; with it, a server that does not answer is found before a request is sent.
	Check time.Duration
	// Announce is how long new connections still arrive after the readiness was turned off.
	Announce time.Duration
}

// DefaultTiming returns the times for small machines and 16 ms between regions: Near is several round trips within a
// region, Far a dial and a round trip between regions, Announce two questions of the balancer, one a second, and their
// timeouts.
func DefaultTiming() Timing {
	return Timing{
		Near: 8 * time.Millisecond, Far: 45 * time.Millisecond, Most: 120 * time.Millisecond, Check: 250 * time.Millisecond,
		Announce: 2600 * time.Millisecond,
	}
}

// Bounds are the terms that the platform sets for the whole fleet.
type Bounds struct {
	// Drain is the time after which a leaving backend server gets no new request.
	Drain time.Duration
	// Grace is the time from the signal to stop until the process is killed.
	Grace time.Duration
	// ResendRatio, ResendWindow and ResendSlack bound the resends of all instances; see package resend.
	ResendRatio  float64
	ResendWindow time.Duration
	ResendSlack  float64
	// ColdOvershoot and ColdSlack bound the requests to a cold server; see package coldstart.
	ColdOvershoot, ColdSlack float64
}

// Check returns the first setting that is missing or wrong.
func (s *Settings) Check() error {
	for _, a := range []struct{ name, value string }{
		{"address for callers", s.CallerAddress}, {"address for readiness", s.ReadinessAddress}, {"address for peers", s.PeerAddress},
		{"address of the store", s.StoreAddress},
	} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return fault.Wrap(err, fault.Invalid, "set it to HOST:PORT", "setting %q is %q", a.name, a.value)
		}
	}
	switch {
	case s.Name == "":
		return fault.New(fault.Invalid, "set the name of the instance", "the instance has no name")
	case s.Place.Zone == "" || s.Place.Region == "":
		return fault.New(fault.Invalid, "set zone and region of the instance", "instance %s has no place", s.Name)
	case s.Bounds.Grace <= 0:
		return fault.New(fault.Invalid, "set the time to stop", "instance %s has %s to stop", s.Name, s.Bounds.Grace)
	}
	return nil
}
