package gateway

import (
	"log/slog"
	"net"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

// Settings describe an instance and its deployment.
type Settings struct {
	Name string
	// Host is its IP address.
	Host  string
	Place fleet.Place
	// CPUShare is the fraction of a processor core that the instance has, times the speed of the core.
	CPUShare float64
	// Memory is the memory of the process, in bytes. One that exceeds it is killed; zero sets no limit.
	Memory int64
	// MaxFiles is the maximum number of file descriptors; zero sets no limit.
	MaxFiles int
	// CallerAddress is the address for requests, ReadinessAddress that for readiness checks of the platform's balancer.
	CallerAddress, ReadinessAddress string
	// ReadinessPath is the path of the readiness check.
	ReadinessPath string
	// PeerAddress is the address for other instances.
	PeerAddress string
	// Seeds are peer addresses of some instances, used at the start. They may be out of date.
	Seeds []string
	// MetricsAddress is the address on which metrics are served; empty serves none.
	MetricsAddress string
	// LogLevel is the minimum level that is logged.
	LogLevel slog.Level
	// FirstStart is true only when all instances start for the first time.
	FirstStart bool
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	Bounds  Bounds
	Timing  Timing
}

// Timing holds durations that depend on the speed of machines and networks. The platform sets none of them.
type Timing struct {
	// ReportWait is the maximum wait of a placement for the load reports of servers of the own region,
	// ReportWaitOtherRegion the same for other regions, and MaxReportWait the maximum wait while no server has reported
	// at all.
	ReportWait, ReportWaitOtherRegion, MaxReportWait time.Duration
	// CheckTimeout is the timeout of a health check, by which an unresponsive server is detected before a request is sent
	// to it.
	CheckTimeout time.Duration
	// Announce is how long new connections still arrive after the readiness check has started to fail.
	Announce time.Duration
}

// DefaultTiming returns the durations for small machines and a round trip of 16 ms between regions. ReportWait is several
// round trips within a region, ReportWaitOtherRegion a dial and a round trip between regions, and Announce two readiness
// checks of the balancer, one per second, with their timeouts.
func DefaultTiming() Timing {
	return Timing{
		ReportWait: 8 * time.Millisecond, ReportWaitOtherRegion: 45 * time.Millisecond, MaxReportWait: 120 * time.Millisecond,
		CheckTimeout: 250 * time.Millisecond, Announce: 2600 * time.Millisecond,
	}
}

// Bounds are the limits that the platform sets for the whole fleet.
type Bounds struct {
	// Drain is the time after which a leaving backend server gets no new request.
	Drain time.Duration
	// ConfigApply is the time after which a confirmed configuration is in force everywhere; zero means 2 s.
	ConfigApply time.Duration
	// Grace is the time between the stop signal and the kill of the process.
	Grace time.Duration
	// ResendRatio, ResendWindow and ResendSlack limit the resends of all instances together; see package resend.
	ResendRatio  float64
	ResendWindow time.Duration
	ResendSlack  float64
	// ColdOvershoot and ColdSlack limit the requests to a cold server; see package coldstart.
	ColdOvershoot, ColdSlack float64
}

// Check returns an error for the first setting that is missing or invalid.
func (s *Settings) Check() error {
	for _, a := range []struct{ name, value string }{
		{"address for callers", s.CallerAddress}, {"address for readiness", s.ReadinessAddress},
		{"address for peers", s.PeerAddress},
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
		return fault.New(fault.Invalid, "set zone and region of the instance", "instance %s has no zone or no region", s.Name)
	case s.Bounds.Grace <= 0:
		return fault.New(fault.Invalid, "set a positive grace period", "grace period of instance %s is %s", s.Name, s.Bounds.Grace)
	}
	return nil
}
