package task

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a task that uses a whole core because a time that has passed stays set.
func TestOverdueAlarmSlowsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logged bytes.Buffer
		alarm := NewAlarm("board", slog.New(slog.NewTextHandler(&logged, nil)))
		defer alarm.Stop()
		before, start := OverdueAlarms.Count(), time.Now()
		due, turns := start.Add(time.Second), 0
		for time.Since(start) < 3*time.Second {
			alarm.Set(due)
			<-alarm.C()
			turns++
		}
		if most := maxOverdueTurns + int(2*time.Second/overdueRetry) + 2; turns > most {
			t.Errorf("a time that stayed set caused %d turns in 2 s, want %d at most", turns, most)
		}
		if n := OverdueAlarms.Count() - before; n != 1 {
			t.Errorf("%d times were counted, want 1", n)
		}
		if n := strings.Count(logged.String(), "task=board"); n != 1 {
			t.Errorf("logged %d times: %s", n, &logged)
		}
		alarm.Set(time.Now().Add(time.Minute))
		if again := time.Now(); !(<-alarm.C()).Equal(again.Add(time.Minute)) {
			t.Error("a later time did not replace the stuck one")
		}
	})
}

// Guards against an alarm that delays times which are set in the past by many messages, as in a task that is behind.
func TestAlarmOfBusyTaskIsNotDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alarm := NewAlarm("director", slog.New(slog.DiscardHandler))
		defer alarm.Stop()
		before, start := OverdueAlarms.Count(), time.Now()
		for i := range 10 * maxOverdueTurns {
			alarm.Set(start.Add(time.Duration(i) - time.Second))
			<-alarm.C()
		}
		if time.Since(start) > 0 || OverdueAlarms.Count() != before {
			t.Errorf("times that had passed were delayed by %s, %d were counted", time.Since(start), OverdueAlarms.Count()-before)
		}
	})
}

// Guards against an alarm that goes off without a time, or for a time other than the earliest.
func TestAlarmWaitsForEarliestTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alarm := NewAlarm("task", slog.New(slog.DiscardHandler))
		defer alarm.Stop()
		start := time.Now()
		alarm.Set(start.Add(time.Second))
		alarm.SetFirst(time.Time{}, time.Time{})
		select {
		case <-alarm.C():
			t.Error("an alarm without a time went off")
		case <-time.After(time.Hour):
		}
		now := time.Now()
		alarm.SetFirst(now.Add(2*time.Second), time.Time{}, now.Add(time.Second))
		if at := <-alarm.C(); !at.Equal(now.Add(time.Second)) {
			t.Errorf("the alarm went off after %s, want 1s", at.Sub(now))
		}
	})
}
