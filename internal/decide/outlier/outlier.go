// Package outlier estimates the reliability of a backend server from the outcomes of the requests that were sent to it.
// Health checks do not count, because a server may pass them and fail every request.
package outlier

import (
	"math"
	"time"
)

const (
	// failureWeight and successWeight are the weights of one outcome in the moving average.
	failureWeight = 0.5
	successWeight = 0.25
	// recoveryTime is the time constant with which the score of a server without requests returns to 1: it regains 63 % of
	// the loss in this time.
	recoveryTime = 6 * time.Second
)

// Score estimates the reliability of one server. The zero value is not usable; create a Score with NewScore.
type Score struct {
	value   float64
	updated time.Time
}

// NewScore returns the score of a server without failures.
func NewScore() Score { return Score{value: 1} }

// Value returns the expected share of requests that get an answer, from 0 to 1.
func (s *Score) Value(now time.Time) float64 {
	if s.value >= 1 {
		return 1
	}
	loss := (1 - s.value) * math.Exp(-float64(now.Sub(s.updated))/float64(recoveryTime))
	return 1 - loss
}

// Success records a request that was answered.
func (s *Score) Success(now time.Time) {
	v := s.Value(now)
	s.value, s.updated = v+(1-v)*successWeight, now
}

// Failure records a request without an answer, or with an answer that reports a server error.
func (s *Score) Failure(now time.Time) {
	s.value, s.updated = s.Value(now)*(1-failureWeight), now
}
