//go:build review

// Package racedetector shows the crash of the race detector that ends the tests of internal/node now and then. It uses no
// code of this project.
package racedetector

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestDueTimers receives from timers that are due, in several goroutines of one bubble. The goroutines share nothing else.
// In Go 1.26 the runtime sends the time for a due timer on the thread of the receiver, with the one race context of the
// bubble (unlockAndRun in runtime/time.go). Two threads then use that context at the same time, which the detector forbids.
func TestDueTimers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var receivers sync.WaitGroup
		for range 8 {
			receivers.Go(func() {
				for range 20000 {
					<-time.NewTimer(0).C
				}
			})
		}
		receivers.Wait()
	})
}
