package placement

import "time"

const (
	// sampleWeight is the weight of a new sample in the moving average of a service time. The first samples weigh more: the
	// assumption made before them counts like one sample.
	sampleWeight = 0.05
	// noLoadQuantile is the quantile of the service times that counts as typical where servers do not report load. It lies
	// below the share of requests that meet a machine at its normal speed.
	noLoadQuantile = 0.4
	// trialInterval is the time without a sample after which an estimate that causes refusals is put to the test.
	trialInterval = time.Second
	// trialWeight is the weight of the time of a trial that was quicker than estimated.
	trialWeight = 0.5
)

// ServiceTime estimates the typical service time of the requests of one route on an unloaded server. Requests are refused by
// this estimate, and a refused request gives no sample. So while it causes refusals, one request in trialInterval is sent as
// a trial.
type ServiceTime struct {
	// Assumed is the service time that is assumed without samples.
	Assumed  time.Duration
	estimate time.Duration
	samples  int
	// sampledAt is when the last sample was taken or the last trial began.
	sampledAt time.Time
}

// Value returns the estimate, or the assumed time before the first sample.
func (s *ServiceTime) Value() time.Duration {
	if s.samples == 0 {
		return s.Assumed
	}
	return s.estimate
}

// Record adds the time of a request on an unloaded server. LoadReported is true for a server that reports load. A server
// that does not may have been slow unnoticed, so for it the typical time is a quantile that slow answers hardly move.
func (s *ServiceTime) Record(now time.Time, work time.Duration, loadReported bool) {
	old := s.Value()
	s.samples++
	s.sampledAt = now
	weight := max(sampleWeight, 1/float64(s.samples+1))
	switch {
	case loadReported || s.samples == 1:
		s.estimate = old + time.Duration(weight*float64(work-old))
	case work < old:
		s.estimate = old - time.Duration(sampleWeight*(1-noLoadQuantile)*float64(old))
	default:
		s.estimate = old + time.Duration(sampleWeight*noLoadQuantile*float64(old))
	}
}

// TrialDue reports whether a request that is refused because of the estimate should be sent as a trial.
func (s *ServiceTime) TrialDue(now time.Time) bool {
	return s.Value() > s.Assumed && now.Sub(s.sampledAt) >= trialInterval
}

// StartTrial records that a trial begins.
func (s *ServiceTime) StartTrial(now time.Time) { s.sampledAt = now }

// RecordTrial adds the time of a trial, which may include delays by load. So it counts only if it was quicker than estimated.
func (s *ServiceTime) RecordTrial(elapsed time.Duration) {
	if elapsed < s.Value() {
		s.estimate = s.Value() - time.Duration(trialWeight*float64(s.Value()-elapsed))
	}
}

// ChooseTrial returns the candidate for a trial: one with room to spare that would be chosen if the requests took the assumed
// time.
func (t Tuning) ChooseTrial(r Request, s *ServiceTime, candidates []Candidate) Choice {
	r.ServiceTime = s.Assumed
	choice := t.Choose(r, candidates)
	if choice.Index < 0 {
		return choice
	}
	c := candidates[choice.Index]
	if busy := float64(c.Running+c.Waiting+1) / float64(max(c.Slots, 1)); busy > t.SaturationShare || c.Cold {
		choice.Index = -1
	}
	return choice
}
