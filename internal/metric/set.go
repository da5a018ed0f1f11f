package metric

import (
	"fmt"
	"io"
	"slices"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// reservoirSize and reservoirAlpha are the values that go-metrics itself uses for an exponentially decaying sample of about
// five minutes.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Names of the metrics of the process.
const (
	MetricProcessCPU    = "process.cpu_ms"
	MetricOverdueAlarms = "task.overdue_alarms"
)

// Set holds the metrics of one instance.
type Set struct{ registry gometrics.Registry }

// NewSet returns an empty set.
func NewSet() *Set { return &Set{registry: gometrics.NewRegistry()} }

// AddProcess adds the metrics of the process, which all instances of it share.
func (s *Set) AddProcess() {
	for name, m := range map[string]any{
		MetricProcessCPU: gometrics.NewFunctionalGauge(cpuMilliseconds), MetricOverdueAlarms: task.OverdueAlarms,
	} {
		s.registry.GetOrRegister(name, m)
	}
}

// Registry returns the registry, for packages that register their own metrics.
func (s *Set) Registry() gometrics.Registry { return s.registry }

// Service holds the metrics of one service, so that they are not looked up for each request.
type Service struct {
	set      *Set
	name     string
	answered gometrics.Counter
	resent   gometrics.Counter
	elapsed  gometrics.Histogram
}

// Service returns the metrics of one service and registers those that do not exist.
func (s *Set) Service(name string) *Service {
	return &Service{
		set: s, name: name, answered: s.counter("request.answered." + name), resent: s.counter("request.resent." + name),
		elapsed: s.histogram("request.time_us." + name),
	}
}

// Answered counts a request that a backend server answered and records the time that it spent at the instance.
func (s *Service) Answered(elapsed time.Duration) {
	s.answered.Inc(1)
	s.elapsed.Update(elapsed.Microseconds())
}

// Failed counts a request that was refused or has an unknown outcome, by error kind.
func (s *Service) Failed(kind fault.Kind) {
	s.set.counter("request.failed." + string(kind) + "." + s.name).Inc(1)
}

// Cut counts a request that was read and got no complete answer because the connection of its caller ended, by cause.
func (s *Set) Cut(cause string) { s.counter("request.cut." + cause).Inc(1) }

// InvalidAnswer counts an answer of a backend server whose bytes were no answer.
func (s *Service) InvalidAnswer() { s.set.counter("request.invalid_answers." + s.name).Inc(1) }

// CutAnswer counts a long answer that a backend server broke off or did not end in time.
func (s *Service) CutAnswer() { s.set.counter("request.cut_answers." + s.name).Inc(1) }

// Resent adds to the number of resends.
func (s *Service) Resent(n int64) { s.resent.Inc(n) }

func (s *Set) counter(name string) gometrics.Counter {
	return s.registry.GetOrRegister(name, gometrics.NewCounter).(gometrics.Counter)
}

func (s *Set) histogram(name string) gometrics.Histogram {
	return s.registry.GetOrRegister(name, newHistogram).(gometrics.Histogram)
}

func newHistogram() gometrics.Histogram {
	return gometrics.NewHistogram(gometrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
}

// Counters returns the values of all counters and gauges by name.
func (s *Set) Counters() map[string]int64 {
	values := map[string]int64{}
	s.registry.Each(func(name string, m any) {
		switch m := m.(type) {
		case gometrics.Counter:
			values[name] = m.Count()
		case gometrics.Gauge:
			values[name] = m.Value()
		}
	})
	return values
}

// percentiles are the quantiles of a histogram that WriteText writes.
var percentiles = []float64{0.5, 0.99, 0.999}

// WriteText writes one line "name value" for each value, sorted by name.
func (s *Set) WriteText(w io.Writer) error {
	lines := []string{}
	for name, value := range s.Counters() {
		lines = append(lines, fmt.Sprintf("%s %d\n", name, value))
	}
	s.registry.Each(func(name string, m any) {
		if h, ok := m.(gometrics.Histogram); ok {
			lines = append(lines, histogramLines(name, h.Snapshot())...)
		}
	})
	slices.Sort(lines)
	for _, line := range lines {
		if _, err := io.WriteString(w, line); err != nil {
			return err
		}
	}
	return nil
}

func histogramLines(name string, h gometrics.Histogram) []string {
	lines := []string{fmt.Sprintf("%s.count %d\n", name, h.Count())}
	for i, value := range h.Percentiles(percentiles) {
		lines = append(lines, fmt.Sprintf("%s.p%g %.0f\n", name, percentiles[i]*100, value))
	}
	return lines
}
