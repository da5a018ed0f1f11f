package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/dispatch"
	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// assumedWait is the timeout of a request whose caller sent none.
	assumedWait = 10 * time.Second
	// answerSlack is how long after the deadline an answer of the backend server is still awaited: a round trip between
	// regions. The server gives up at the same deadline, and its answer says so.
	answerSlack = 20 * time.Millisecond
	// mostSends is the maximum number of copies of one request, including those that did not run.
	mostSends = 4
	// hedgeLeast is the minimum delay of a hedge (a second copy while the first is in flight).
	hedgeLeast = 30 * time.Millisecond
	// staleConfig is the age of the configuration above which an unknown route may have been added since.
	staleConfig = time.Second
	// startReturn is the Retry-After time for short-lived causes, such as an instance without a configuration.
	startReturn = 200 * time.Millisecond
)

// forwarding holds what the tasks of all requests share. It is immutable.
type forwarding struct {
	beliefs  *Beliefs
	director *task.Mailbox[any]
	dialect  Dialect
	bound    *chart.Bound[*forward]
	log      *slog.Logger
	counters *counters
}

func newForwarding(beliefs *Beliefs, director *task.Mailbox[any], dialect Dialect, log *slog.Logger, counters *counters) (*forwarding, error) {
	ch, err := charts.Load("forward", nil)
	if err != nil {
		return nil, err
	}
	bound, err := chart.Bind(ch, chart.Bindings[*forward]{
		Guards: map[string]func(*forward) bool{
			"has_answer":      func(f *forward) bool { return f.answer != nil },
			"may_have_run":    func(f *forward) bool { return f.mayHaveRun },
			"copies_left":     func(f *forward) bool { return f.copies > 0 },
			"may_repeat":      (*forward).mayRepeat,
			"may_place_again": (*forward).mayPlaceAgain,
			"may_hedge":       (*forward).mayHedge,
			"is_idempotent":   func(f *forward) bool { return f.route.Idempotent },
		},
		Actions: map[string]func(*forward){
			"ask_server":      (*forward).askServer,
			"send":            (*forward).send,
			"give_back":       func(f *forward) { f.tell(released{grant: f.grant, cancelled: true}) },
			"refuse_expired":  func(f *forward) { f.refusal = unplaced{reason: reasonExpired} },
			"refuse_declined": (*forward).refuseDeclined,
			"deliver_answer":  (*forward).deliverAnswer,
			"deliver_refusal": (*forward).deliverRefusal,
			"deliver_failure": (*forward).deliverFailure,
			"deliver_timeout": (*forward).deliverTimeout,
		},
	})
	if err != nil {
		return nil, err
	}
	return &forwarding{beliefs: beliefs, director: director, dialect: dialect, bound: bound, log: log, counters: counters}, nil
}

// forward is the task of one request of a caller. It is the context of charts/forward.toml.
type forward struct {
	*forwarding
	ctx     context.Context
	request *call.Request
	host    string
	began   time.Time
	// wait is the timeout of the caller.
	wait    time.Duration
	machine *chart.Machine[*forward]
	// events receives the answers of the director and the results of copies.
	events chan any

	route       *fleet.Route
	fingerprint quarantine.Fingerprint
	// draw is the random number that selects the service among the parts of a route; all copies use the same one.
	draw float64
	// until is the deadline of the request.
	until time.Time
	// slowAt is when a hedge is due; zero when none is scheduled.
	slowAt time.Time

	// grant is the grant that has not been used yet.
	grant *grant
	// latest is the grant of the last copy sent.
	latest *grant
	// tried are the backend servers that already received a copy.
	tried []string
	// sends is the number of copies sent.
	sends int
	// runs is the number of copies sent without those that surely did not run.
	runs int
	// copies is the number of copies in flight.
	copies int
	// asking is true while the director chooses a server.
	asking     bool
	mayHaveRun bool
	answer     *backend.Result
	lastError  error
	refusal    unplaced
	reply      reply
}

// copyEnded is the result of one copy.
type copyEnded struct {
	grant  *grant
	result backend.Result
}

// run handles the request and returns the reply to the caller. The context is cancelled when the caller disconnects.
func (f *forward) run() reply {
	f.counters.requests.Inc(1)
	if rejection, ok := f.resolve(f.beliefs.Newest()); !ok {
		return rejection
	}
	ctx, cancel := context.WithCancel(f.ctx)
	f.ctx = ctx
	f.machine = f.bound.New(f.began, f)
	f.fire("start")
	expiry := time.NewTimer(time.Until(f.until))
	defer expiry.Stop()
	for !f.machine.Final() {
		f.next(expiry)
	}
	f.reply.done = cancel
	if f.reply.stream == nil {
		cancel()
	}
	f.abandonCopies()
	f.report()
	return f.reply
}

// resolve finds the route of the request in the newest snapshot. It returns false and the reply when there is none.
func (f *forward) resolve(belief *Belief) (reply, bool) {
	if !belief.Ready() {
		return f.refuseEarly(reasonUninformed, startReturn), false
	}
	route, ok := belief.Routes.Match(f.host, f.request.Path)
	if !ok {
		if age := time.Since(belief.ConfigAsOf); age > staleConfig+rarePace.wait {
			return f.refuseEarly(reasonOldRoutes, startReturn), false
		}
		f.log.Info("request has no route", "request", f.request.ID, "host", f.host, "path", f.request.Path, "version", uint64(belief.Config.Version))
		return f.own(http.StatusNotFound, fault.New(fault.UnknownRoute, "use a host and path of the configuration", "no route matches"), 0), false
	}
	f.route = route
	f.until = f.began.Add(f.wait)
	if route.Timeout > 0 && route.Timeout < f.wait {
		f.until = f.began.Add(route.Timeout)
	}
	return reply{}, true
}

// refuseEarly returns the reply for a request that is refused before its state chart starts.
func (f *forward) refuseEarly(reason reason, retryAfter time.Duration) reply {
	f.counters.refuse(reason)
	f.log.Warn("request is refused", "request", f.request.ID, "reason", reason.text, "retry_after_ms", retryAfter.Milliseconds())
	return f.own(http.StatusServiceUnavailable, fault.New(fault.NoServer, "send the request again", "%s", reason.text), retryAfter)
}

func (f *forward) fire(event string) {
	if err := f.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

// next waits for one event and handles it.
func (f *forward) next(expiry *time.Timer) {
	var slow <-chan time.Time
	if !f.slowAt.IsZero() {
		timer := time.NewTimer(time.Until(f.slowAt))
		defer timer.Stop()
		slow = timer.C
	}
	select {
	case m := <-f.events:
		f.handle(m)
	case <-expiry.C:
		if f.copies > 0 && time.Now().Before(f.until.Add(answerSlack)) {
			expiry.Reset(time.Until(f.until.Add(answerSlack)))
			return
		}
		f.fire("expired")
	case <-slow:
		f.slowAt = time.Time{}
		f.tell(overdue{grant: f.latest})
		f.fire("slow")
	case <-f.ctx.Done():
		f.fire("gone")
	}
}

func (f *forward) handle(m any) {
	switch m := m.(type) {
	case *grant:
		f.asking = false
		f.grant = m
		f.fire("placed")
	case unplaced:
		f.asking = false
		f.refusal = m
		f.fire("unplaced")
	case copyEnded:
		f.copies--
		f.ended(m)
	}
}

// ended handles the result of a copy.
func (f *forward) ended(m copyEnded) {
	event := f.eventOf(m.result)
	f.tell(released{grant: m.grant, result: m.result, worked: event == "answered"})
	switch event {
	case "answered":
		if f.answer != nil {
			discard(*f.answer)
		}
		f.answer = &m.result
	case "failed_answer":
		if f.answer != nil {
			discard(*f.answer)
		}
		f.answer = &m.result
	case "lost":
		f.mayHaveRun = true
		f.lastError = m.result.Err
	case "not_run":
		f.runs--
		f.lastError = m.result.Err
	}
	if event != "answered" {
		f.log.Warn("copy of a request failed", "request", f.request.ID, "backend", m.grant.entry.ID, "event", event,
			"fate", m.result.Fate.String(), "status", statusOf(m.result), "error", m.result.Err,
			"elapsed_ms", time.Since(m.grant.sentAt).Milliseconds(), "copies_left", f.copies)
	}
	f.fire(event)
}

// eventOf returns the chart event for the result of a copy.
func (f *forward) eventOf(r backend.Result) string {
	switch {
	case r.Fate.SurelyNotRun():
		return "not_run"
	case r.Answer == nil:
		return "lost"
	case r.Answer.Status >= http.StatusInternalServerError:
		return "failed_answer"
	}
	return "answered"
}

func statusOf(r backend.Result) int {
	if r.Answer == nil {
		return 0
	}
	return r.Answer.Status
}

// mayRepeat reports whether another copy may be sent although an earlier one may have run.
func (f *forward) mayRepeat() bool {
	return f.route.Idempotent && f.runs < f.route.Attempts && f.sends < mostSends && time.Now().Before(f.until)
}

// mayPlaceAgain reports whether another copy may be sent after a copy that surely did not run.
func (f *forward) mayPlaceAgain() bool {
	return (f.route.Idempotent || !f.mayHaveRun) && f.runs < f.route.Attempts && f.sends < mostSends && time.Now().Before(f.until)
}

func (f *forward) mayHedge() bool { return !f.asking && f.copies == 1 && f.mayRepeat() }

// askServer requests a server from the director. The route is looked up again, so that the configuration now in force
// applies.
func (f *forward) askServer() {
	if f.asking {
		return // the answer to the pending request will be used
	}
	belief := f.beliefs.Newest()
	route, ok := belief.Routes.Match(f.host, f.request.Path)
	f.asking = true
	if !ok {
		f.events <- unplaced{reason: reasonRouteRemoved, retryAfter: startReturn}
		return
	}
	f.route = route
	m := place{
		id: f.request.ID, route: route, fingerprint: f.fingerprint, service: dispatch.PickPart(route, f.draw), tried: f.tried, first: f.sends == 0, until: f.until,
		objective: f.began.Add(route.Objective), reply: func(m any) { f.events <- m },
	}
	if err := f.director.Offer(m); err != nil {
		f.events <- unplaced{reason: reasonBusy, retryAfter: startReturn}
	}
}

// eventsCapacity holds all messages that a request can receive, so that senders never block: one of the director and one
// for each copy.
const eventsCapacity = mostSends + 2

// send sends one copy to the granted server.
func (f *forward) send() {
	g := f.grant
	f.grant, f.latest = nil, g
	f.sends++
	f.runs++
	f.copies++
	if f.sends > 1 {
		f.counters.resent.Inc(1)
	}
	if f.copies > 1 {
		f.counters.hedged.Inc(1)
	}
	f.tried = append(f.tried, g.entry.ID)
	f.slowAt = time.Time{}
	if f.route.Idempotent {
		f.slowAt = time.Now().Add(max(g.hedgeAfter, hedgeLeast))
	}
	f.log.Info("request is sent", "request", f.request.ID, "route", f.route.Name, "backend", g.entry.ID, "zone", g.entry.Place.Zone,
		"expected_ms", g.expected.Milliseconds(), "report_age_ms", g.reportAge.Milliseconds(), "check_delay_us", g.delay.Microseconds(), "asked", g.asked, "copy", f.sends,
		"waited_ms", time.Since(f.began).Milliseconds())
	request := *f.request
	request.Expect = g.entry.ID
	request.Deadline = f.until
	ctx, events := f.ctx, f.events
	go func() { events <- copyEnded{grant: g, result: g.pool.Do(ctx, &request)} }()
}

// abandonCopies discards the results of the copies and placements that are still pending when the reply is decided, and
// returns their grants to the director.
func (f *forward) abandonCopies() {
	copies, asking := f.copies, f.asking
	if copies == 0 && !asking {
		return
	}
	events, director := f.events, f.director
	go func() {
		for copies > 0 || asking {
			switch m := (<-events).(type) {
			case *grant:
				asking = false
				_ = director.Send(context.Background(), released{grant: m, cancelled: true}) // the director outlives all requests
			case unplaced:
				asking = false
			case copyEnded:
				copies--
				discard(m.result)
				_ = director.Send(context.Background(), released{grant: m.grant, result: m.result, cancelled: true}) // same
			}
		}
	}()
}

// discard closes the stream of an unused answer.
func discard(r backend.Result) {
	if r.Answer != nil && r.Answer.Stream != nil {
		_ = r.Answer.Stream.Close() // an error of the close has no consequence
	}
}

// tell sends a message to the director.
func (f *forward) tell(m any) {
	_ = f.director.Send(context.Background(), m) // a lost message would leak a slot, so it waits; the director outlives all requests
}

func (f *forward) refuseDeclined() {
	f.refusal = unplaced{reason: reasonDeclined, retryAfter: startReturn}
}

func (f *forward) deliverAnswer() {
	f.counters.answer(dispatch.PickPart(f.route, f.draw), f.route.Idempotent, time.Since(f.began))
	a := f.answer.Answer
	f.reply = reply{status: a.Status, header: headerOf(a.Header), body: a.Body, stream: a.Stream, length: a.Length}
}

func headerOf(fields []call.Field) http.Header {
	h := make(http.Header, len(fields))
	for _, field := range fields {
		h.Add(field.Name, field.Value)
	}
	return h
}

func (f *forward) deliverRefusal() {
	f.counters.refuse(f.refusal.reason)
	f.reply = f.own(http.StatusServiceUnavailable, fault.New(fault.Overloaded, "send the request again after the given time", "%s", f.refusal.reason.text), f.refusal.retryAfter)
}

func (f *forward) deliverFailure() {
	f.counters.failed.Inc(1)
	f.reply = f.own(http.StatusBadGateway, fault.New(fault.OutcomeUnknown, "check whether the request took effect", "the answer of the backend server was lost"), 0)
}

func (f *forward) deliverTimeout() {
	f.counters.expired.Inc(1)
	f.reply = f.own(http.StatusGatewayTimeout, fault.New(fault.DeadlineExceeded, "check whether the request took effect", "no answer in the time of the route"), 0)
}

// own returns a reply generated by the instance itself.
func (f *forward) own(status int, e *fault.Error, retryAfter time.Duration) reply {
	return ownReply(f.dialect, f.request.ID, status, e, retryAfter)
}

// report logs the outcome of the request.
func (f *forward) report() {
	state := f.machine.State()
	level := slog.LevelInfo
	if state != "answered" || f.reply.status >= http.StatusInternalServerError {
		level = slog.LevelWarn
	}
	if state == "abandoned" {
		f.counters.abandoned.Inc(1)
	}
	why := "reason"
	if state != "refused" {
		why = "not_repeated" // the reason why a further copy was not placed
	}
	f.log.Log(context.Background(), level, "request ended", "request", f.request.ID, "route", f.route.Name, "state", state,
		"status", f.reply.status, "elapsed_ms", time.Since(f.began).Milliseconds(), "copies", f.sends, "tried", strings.Join(f.tried, " "),
		why, f.refusal.reason.text, "retry_after_ms", f.refusal.retryAfter.Milliseconds(), "error", f.lastError)
}

// newForward returns the task of a request.
func (s *forwarding) newForward(ctx context.Context, in *incoming) *forward {
	wait := in.wait
	if wait <= 0 {
		wait = assumedWait
	}
	return &forward{
		forwarding: s, ctx: ctx, request: in.request, host: in.host, began: in.at, wait: wait, draw: rand.Float64(),
		fingerprint: fingerprintOf(in.request, in.host),
		events:      make(chan any, eventsCapacity),
	}
}

// retryAfterText formats the value of the Retry-After header, in seconds with fractions.
func retryAfterText(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
