// Package outlier decides how far a backend server can be relied on, from the requests that were sent to it. Health
// checks do not count: a server may pass them and fail every request.
package outlier

import (
	"math"
	"time"
)

const (
	// failureWeight and successWeight are how far one outcome moves the score.
	failureWeight = 0.5
	successWeight = 0.25
	// recovery is the time in which a server without requests regains 63 % of what it lost.
	recovery = 6 * time.Second
)

// Score is the reliability of one server. The zero value is not usable; NewScore returns one.
type Score struct {
	value   float64
	updated time.Time
}

// NewScore returns the score of a server that has not failed.
func NewScore() Score { return Score{value: 1} }

// Value returns the expected share of requests that get an answer, from 0 to 1.
func (s *Score) Value(now time.Time) float64 {
	if s.value >= 1 {
		return 1
	}
	lost := (1 - s.value) * math.Exp(-float64(now.Sub(s.updated))/float64(recovery))
	return 1 - lost
}

// Success counts a request that got its answer.
func (s *Score) Success(now time.Time) {
	v := s.Value(now)
	s.value, s.updated = v+(1-v)*successWeight, now
}

// Failure counts a request without an answer, or with one that says that the server failed.
func (s *Score) Failure(now time.Time) {
	s.value, s.updated = s.Value(now)*(1-failureWeight), now
}
