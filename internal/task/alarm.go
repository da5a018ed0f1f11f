package task

import (
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxOverdueTurns is the number of turns of a task after which a time that is still set counts as stuck. A few are normal:
	// messages may arrive faster than the task handles them.
	maxOverdueTurns = 64
	// overdueRetry is the interval of the turns that a stuck time causes.
	overdueRetry = 10 * time.Millisecond
)

// OverdueAlarms counts the times of all tasks of the process that stayed set in their past. It is for registries of metrics.
var OverdueAlarms = metrics.NewCounter()

// Alarm is the timer of a task that waits for messages and for the earliest of several times. It is owned by the task.
//
// A task has to remove or move a time that has come. One that it leaves in place would make it run without a pause, so an
// alarm that is set to the same past time again and again slows down, logs that and counts it.
type Alarm struct {
	task  string
	log   *slog.Logger
	timer *time.Timer
	// due is the time that is set; zero if there is none.
	due time.Time
	// overdueTurns counts how often in succession the alarm was set to a past time that is no later than the one before.
	overdueTurns int
}

// NewAlarm returns an alarm without a time. The name of the task appears in the log.
func NewAlarm(task string, log *slog.Logger) *Alarm {
	a := &Alarm{task: task, log: log, timer: time.NewTimer(time.Hour)}
	a.timer.Stop()
	return a
}

// C returns the channel that receives a value when the time has come.
func (a *Alarm) C() <-chan time.Time { return a.timer.C }

// Stop releases the timer.
func (a *Alarm) Stop() { a.timer.Stop() }

// Set replaces the time. A zero time sets none.
func (a *Alarm) Set(due time.Time) {
	before := a.due
	a.due = due
	if due.IsZero() {
		a.overdueTurns = 0
		a.timer.Stop()
		return
	}
	wait := time.Until(due)
	if wait > 0 || before.IsZero() || due.After(before) {
		a.overdueTurns = 0
		a.timer.Reset(wait)
		return
	}
	a.overdueTurns++
	if a.overdueTurns == maxOverdueTurns {
		OverdueAlarms.Inc(1)
		a.log.Warn("time of a task has passed and stays set; the task slows down", "task", a.task, "overdue_ms", (-wait).Milliseconds())
	}
	if a.overdueTurns >= maxOverdueTurns {
		wait = overdueRetry
	}
	a.timer.Reset(wait)
}

// SetFirst sets the earliest of the times. Zero times are left out.
func (a *Alarm) SetFirst(times ...time.Time) {
	var first time.Time
	for _, t := range times {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	a.Set(first)
}
