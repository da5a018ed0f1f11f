package gateway

import (
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// staleReportInterval is the minimum time between two reports of known objects that stay too old.
const staleReportInterval = 5 * time.Second

// defaultConfigApply is the time within which a confirmed configuration has to be in force, if the platform names none.
const defaultConfigApply = 2 * time.Second

// staleness reports when the known configuration or evacuations are older than they may be, and why. It belongs to the board
// and is the context of charts/staleness.toml.
type staleness struct {
	board   *board
	machine *chart.Machine[*staleness]
	// bound is the age above which a confirmed change may be missing.
	bound time.Duration
	// staleSince is when the state began, reportedAt when it was last reported.
	staleSince, reportedAt time.Time
}

func newStaleness(b *board, bound time.Duration) (*staleness, error) {
	ch, err := charts.Load("staleness", nil)
	if err != nil {
		return nil, err
	}
	bindings, err := chart.Bind(ch, chart.Bindings[*staleness]{
		Guards: map[string]func(*staleness) bool{
			"report_due": func(s *staleness) bool { return time.Since(s.reportedAt) >= staleReportInterval },
		},
		Actions: map[string]func(*staleness){
			"count_stale":  func(s *staleness) { s.staleSince = time.Now(); s.board.onStale() },
			"report_stale": (*staleness).reportStale,
			"report_fresh": (*staleness).reportFresh,
		},
	})
	if err != nil {
		return nil, err
	}
	s := &staleness{board: b}
	s.setBound(bound)
	s.machine = bindings.New(time.Now(), s)
	return s, nil
}

// setBound sets the time within which a confirmed change has to be in force. Zero or less means the default.
func (s *staleness) setBound(bound time.Duration) {
	if bound <= 0 {
		bound = defaultConfigApply
	}
	s.bound = bound
}

// check compares the ages of the known objects with the bound. Nothing is reported before the first configuration is known.
func (s *staleness) check(now time.Time) {
	event := "within_bound"
	if s.board.config != nil && (s.board.configAge(now) > s.bound || s.board.ageOf(objectapi.Evacuations, now) > s.bound) {
		event = "beyond_bound"
	}
	if err := s.machine.Fire(now, event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

func (s *staleness) reportStale() {
	b, now := s.board, time.Now()
	s.reportedAt = now
	configFeed, evacuationFeed := b.source.feeds[objectapi.Configuration].status(), b.source.feeds[objectapi.Evacuations].status()
	b.log.Warn("configuration or evacuations are older than they may be", "reason", s.reason(),
		"config_age_ms", b.configAge(now).Milliseconds(), "evacuations_age_ms", b.ageOf(objectapi.Evacuations, now).Milliseconds(),
		"backends_age_ms", b.ageOf(objectapi.Backends, now).Milliseconds(), "bound_ms", s.bound.Milliseconds(),
		"config_from", b.readBy[objectapi.Configuration], "evacuations_from", b.readBy[objectapi.Evacuations],
		"source", b.source.machine.State(), "source_ms", now.Sub(b.source.machine.Since()).Milliseconds(),
		"config_feed", configFeed.waitsFor, "config_feed_ms", now.Sub(configFeed.since).Milliseconds(),
		"evacuations_feed", evacuationFeed.waitsFor, "evacuations_feed_ms", now.Sub(evacuationFeed.since).Milliseconds())
}

func (s *staleness) reportFresh() {
	s.board.log.Info("configuration and evacuations are recent again", "stale_ms", time.Since(s.staleSince).Milliseconds(),
		"config_from", s.board.readBy[objectapi.Configuration])
}

// reason returns why the objects are old, as far as this instance knows.
func (s *staleness) reason() string {
	b := s.board
	switch {
	case b.storeUnavailable():
		return "store does not answer"
	case b.unansweredKinds[objectapi.Configuration] || b.unansweredKinds[objectapi.Evacuations]:
		return "store answers calls for other kinds only"
	case b.decoding != (objectapi.Position{}):
		return "configuration is being decoded"
	case len(b.missedChanges) > 0:
		return "store has changes that no call has reported"
	case b.source.machine.In("reading"):
		return "calls have not been answered yet"
	}
	return "peers pass on old objects"
}
