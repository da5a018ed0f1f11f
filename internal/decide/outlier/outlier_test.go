package outlier

import (
	"testing"
	"time"
)

// Guards against a failing server that is considered reliable, and against one that is never tried again.
func TestScoreFallsAndRecovers(t *testing.T) {
	s, now := NewScore(), time.Unix(1000, 0)
	for range 4 {
		s.Failure(now)
	}
	if v := s.Value(now); v > 0.1 {
		t.Errorf("after four failures the score is %.2f", v)
	}
	if v := s.Value(now.Add(30 * time.Second)); v < 0.95 {
		t.Errorf("after 30 s without requests the score is %.2f", v)
	}
	for range 12 {
		s.Success(now)
	}
	if v := s.Value(now); v < 0.9 {
		t.Errorf("after twelve answers the score is %.2f", v)
	}
}

// Guards against a single failure that takes a server out of use: 4 requests in 1,000 fail on healthy servers.
func TestSingleFailureKeepsScoreHigh(t *testing.T) {
	s, now := NewScore(), time.Unix(1000, 0)
	s.Failure(now)
	s.Success(now)
	s.Success(now)
	if v := s.Value(now); v < 0.7 {
		t.Errorf("the score is %.2f", v)
	}
}
