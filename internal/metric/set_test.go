package metric

import (
	"strings"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// Guards against a metric that is missing or is written under another name than docs/metrics.md lists.
func TestWriteText(t *testing.T) {
	set := NewSet()
	s := set.Service("intake")
	s.Answered(1500 * time.Microsecond)
	s.Failed(fault.Overloaded)
	s.Resent(2)
	var text strings.Builder
	if err := set.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	want := `request.answered.intake 1
request.failed.overloaded.intake 1
request.resent.intake 2
request.time_us.intake.count 1
request.time_us.intake.p50 1500
request.time_us.intake.p99 1500
request.time_us.intake.p99.9 1500
`
	if text.String() != want {
		t.Errorf("got\n%swant\n%s", text.String(), want)
	}
}

// Guards against a process whose processor time and stuck tasks cannot be seen from outside (review/10).
func TestMetricsOfProcess(t *testing.T) {
	set := NewSet()
	set.AddProcess()
	before := set.Counters()
	task.OverdueAlarms.Inc(1)
	after := set.Counters()
	for after[MetricProcessCPU] <= before[MetricProcessCPU] { // reading the metrics uses processor time
		after = set.Counters()
	}
	if after[MetricOverdueAlarms] != before[MetricOverdueAlarms]+1 {
		t.Errorf("overdue alarms: %d, then %d", before[MetricOverdueAlarms], after[MetricOverdueAlarms])
	}
}
