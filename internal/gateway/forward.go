package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
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
	"fuchsiahub.example/fuchsiahub/internal/memory"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// defaultCallerTimeout is the timeout of a request whose caller sent none.
	defaultCallerTimeout = 10 * time.Second
	// answerSlack is how long after the deadline an answer of the backend server is still awaited: a round trip between
	// regions. The server gives up at the same deadline, and its answer says so.
	answerSlack = 20 * time.Millisecond
	// maxCopies is the maximum number of copies of one request, including those that did not run.
	maxCopies = 4
	// minHedgeDelay is the minimum delay of a hedge (a second copy while the first is in flight).
	minHedgeDelay = 30 * time.Millisecond
	// shortRetryAfter is the Retry-After time for short-lived causes, such as an instance without a configuration.
	shortRetryAfter = 200 * time.Millisecond
)

// forwarder holds what the tasks of all requests share. It is immutable.
type forwarder struct {
	snapshots *SnapshotPublisher
	director  *task.Mailbox[any]
	dialect   Dialect
	stop      *plannedStop
	bodies    *memory.Budget
	// pipelined bounds the memory of requests that wait behind others of their connection.
	pipelined *memory.Budget
	bound     *chart.Bound[*forward]
	log       *slog.Logger
	counters  *counters
}

func newForwarder(snapshots *SnapshotPublisher, director *task.Mailbox[any], dialect Dialect, stop *plannedStop,
	memoryBytes int64, log *slog.Logger, counters *counters) (*forwarder, error) {
	ch, err := charts.Load("forward", nil)
	if err != nil {
		return nil, err
	}
	bound, err := chart.Bind(ch, chart.Bindings[*forward]{
		Guards: map[string]func(*forward) bool{
			"has_answer":      func(f *forward) bool { return f.answer != nil },
			"may_have_run":    func(f *forward) bool { return f.mayHaveRun },
			"copies_left":     func(f *forward) bool { return f.copiesInFlight > 0 },
			"may_repeat":      (*forward).mayRepeat,
			"may_place_again": (*forward).mayPlaceAgain,
			"may_hedge":       (*forward).mayHedge,
			"is_idempotent":   func(f *forward) bool { return f.route.Idempotent },
		},
		Actions: map[string]func(*forward){
			"request_server":  (*forward).requestServer,
			"send":            (*forward).send,
			"release_grant":   func(f *forward) { f.notifyDirector(grantRelease{grant: f.nextGrant, cancelled: true}) },
			"refuse_expired":  func(f *forward) { f.refusal = placeRefusal{reason: reasonExpired} },
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
	return &forwarder{snapshots: snapshots, director: director, dialect: dialect, stop: stop, bodies: newBodyBudget(memoryBytes),
		pipelined: newPipelinedBudget(memoryBytes), bound: bound, log: log, counters: counters}, nil
}

// forward is the task of one request of a caller. It is the context of charts/forward.toml.
type forward struct {
	*forwarder
	ctx           context.Context
	request       *call.Request
	host          string
	receivedAt    time.Time
	callerTimeout time.Duration
	machine       *chart.Machine[*forward]
	// events receives the answers of the director and the results of copies.
	events chan any

	route       *fleet.Route
	fingerprint quarantine.Fingerprint
	// serviceDraw is the random number that selects one of the services of the route; all copies use the same one.
	serviceDraw float64
	deadline    time.Time
	// hedgeAt is when a hedge is due; zero when none is scheduled.
	hedgeAt time.Time

	// nextGrant is the grant that has not been used yet.
	nextGrant *grant
	// lastGrant is the grant of the last copy sent.
	lastGrant *grant
	// triedServers are the backend servers that already received a copy.
	triedServers []string
	copiesSent   int
	// possibleRuns is copiesSent without the copies that surely did not run.
	possibleRuns   int
	copiesInFlight int
	// placing is true while the director chooses a server.
	placing    bool
	mayHaveRun bool
	answer     *backend.Result
	// answeredBy is the grant of the copy with that answer.
	answeredBy *grant
	lastError  error
	refusal    placeRefusal
	reply      reply
}

// copyResult reports the result of one copy.
type copyResult struct {
	grant  *grant
	result backend.Result
}

// run handles the request and returns the reply to the caller. The context is cancelled when the caller disconnects.
func (f *forward) run() reply {
	f.counters.requests.Inc(1)
	if earlyReply, ok := f.resolve(f.snapshots.Newest()); !ok {
		return earlyReply
	}
	ctx, cancel := context.WithCancelCause(f.ctx)
	f.ctx = ctx
	f.machine = f.bound.New(f.receivedAt, f)
	f.fire("start")
	expiry := time.NewTimer(time.Until(f.deadline))
	defer expiry.Stop()
	for !f.machine.Final() {
		f.waitForEvent(expiry)
	}
	f.reply.done = func() { cancel(nil) }
	if f.reply.stream == nil {
		cancel(nil)
	} else {
		f.endStreamAtDeadline(cancel)
		f.reply.stream = &answerStream{ReadCloser: f.reply.stream, ctx: ctx, onCut: f.answerCut}
	}
	f.abandonCopies()
	f.logOutcome()
	return f.reply
}

var errStreamLate = errors.New("answer of the backend server did not end in the time of the request")

// endStreamAtDeadline cancels the copy whose answer is streamed when the deadline passes before the end of the answer.
func (f *forward) endStreamAtDeadline(cancel context.CancelCauseFunc) {
	late := time.AfterFunc(time.Until(f.deadline.Add(answerSlack)), func() { cancel(errStreamLate) })
	f.reply.done = func() {
		late.Stop()
		cancel(nil)
	}
}

// answerStream is a long answer on its way to the caller. It reports once when the answer is cut off by the server or by the
// deadline.
type answerStream struct {
	io.ReadCloser
	ctx context.Context
	// onCut is told whether the server had to send more when the answer was cut off.
	onCut    func(err error, serverFailed bool)
	reported bool
}

func (s *answerStream) Read(p []byte) (int, error) {
	awaited := s.ctx.Err() == nil
	n, err := s.ReadCloser.Read(p)
	if err == nil || err == io.EOF || s.reported {
		return n, err
	}
	if cause := context.Cause(s.ctx); cause == nil || errors.Is(cause, errStreamLate) {
		s.reported = true
		s.onCut(err, awaited)
	}
	return n, err
}

// answerCut records a long answer that was cut off. It is called by the task of the caller's connection after the task of the
// request has ended.
func (f *forward) answerCut(err error, serverFailed bool) {
	f.counters.cutAnswers.Inc(1)
	f.log.Warn("long answer of a backend server was cut off", "request", f.request.ID, "backend", f.answeredBy.entry.ID,
		"server_failed", serverFailed, "elapsed_ms", time.Since(f.receivedAt).Milliseconds(), "error", err)
	if serverFailed {
		_ = f.director.Offer(streamFailure{server: f.answeredBy.server}) // without it the next failure lowers the score
	}
}

// resolve finds the route of the request in the newest snapshot. It returns false and the reply when there is none.
func (f *forward) resolve(snapshot *Snapshot) (reply, bool) {
	if !snapshot.Ready() {
		return f.refuseEarly(reasonUninformed, shortRetryAfter), false
	}
	route, ok := snapshot.Routes.Match(f.host, f.request.Path)
	if !ok {
		if time.Since(snapshot.ConfigAsOf) > snapshot.MaxConfigAge {
			return f.refuseEarly(reasonOldRoutes, shortRetryAfter), false
		}
		f.log.Info("request has no route", "request", f.request.ID, "host", f.host, "path", f.request.Path,
			"version", uint64(snapshot.Config.Version))
		return f.localReply(http.StatusNotFound, fault.New(fault.UnknownRoute,
			"use a host and path of the configuration", "no route matches"), 0), false
	}
	f.route = route
	f.deadline = f.receivedAt.Add(f.callerTimeout)
	if route.Timeout > 0 && route.Timeout < f.callerTimeout {
		f.deadline = f.receivedAt.Add(route.Timeout)
	}
	if limit, stopping := f.stop.limit(); stopping {
		f.deadline = earliest(f.deadline, limit)
		if !time.Now().Before(f.deadline) {
			return f.refuseEarly(reasonStopping, shortRetryAfter), false
		}
	}
	return reply{}, true
}

// refuseEarly returns the reply for a request that is refused before its state chart starts.
func (f *forward) refuseEarly(reason reason, retryAfter time.Duration) reply {
	f.counters.refuse(reason)
	f.log.Warn("request is refused", "request", f.request.ID, "reason", reason.text, "retry_after_ms", retryAfter.Milliseconds())
	return f.localReply(http.StatusServiceUnavailable,
		fault.New(fault.NoServer, "send the request again", "%s", reason.text), retryAfter)
}

func (f *forward) fire(event string) {
	if err := f.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

// waitForEvent waits for one event and handles it.
func (f *forward) waitForEvent(expiry *time.Timer) {
	var hedgeDue <-chan time.Time
	if !f.hedgeAt.IsZero() {
		timer := time.NewTimer(time.Until(f.hedgeAt))
		defer timer.Stop()
		hedgeDue = timer.C
	}
	select {
	case m := <-f.events:
		f.handle(m)
	case <-expiry.C:
		if f.handleArrived() {
			expiry.Reset(0)
			return
		}
		if f.copiesInFlight > 0 && time.Now().Before(f.deadline.Add(answerSlack)) {
			expiry.Reset(time.Until(f.deadline.Add(answerSlack)))
			return
		}
		f.fire("expired")
	case <-hedgeDue:
		if f.handleArrived() {
			return
		}
		f.hedgeAt = time.Time{}
		f.notifyDirector(overdueEvent{grant: f.lastGrant})
		f.fire("slow")
	case <-f.ctx.Done():
		f.fire("gone")
	}
}

// handleArrived handles a message that has arrived, and returns false if there is none. It comes before a timer that is due
// as well, since the task may run late.
func (f *forward) handleArrived() bool {
	select {
	case m := <-f.events:
		f.handle(m)
		return true
	default:
		return false
	}
}

func (f *forward) handle(m any) {
	switch m := m.(type) {
	case *grant:
		f.placing = false
		f.nextGrant = m
		f.fire("placed")
	case placeRefusal:
		f.placing = false
		f.refusal = m
		f.fire("unplaced")
	case copyResult:
		f.copiesInFlight--
		f.handleCopyResult(m)
	}
}

// handleCopyResult returns the grant of the copy, records its result and fires the event for it.
func (f *forward) handleCopyResult(m copyResult) {
	event := f.resultEvent(m.result)
	reportForeignAnswers(f.log, f.counters, m.grant.entry.ID, f.request.ID, m.result)
	f.notifyDirector(grantRelease{grant: m.grant, result: m.result, succeeded: event == "answered"})
	if event == "lost" && m.result.UndeclaredRefusal {
		discard(m.result)
		m.result.Err = errUndeclaredRefusal
	}
	switch event {
	case "answered":
		if f.answer != nil {
			discard(*f.answer)
		}
		f.answer, f.answeredBy = &m.result, m.grant
	case "failed_answer":
		if f.answer != nil {
			discard(*f.answer)
		}
		f.answer, f.answeredBy = &m.result, m.grant
	case "lost":
		f.mayHaveRun = true
		f.lastError = m.result.Err
	case "not_run":
		f.possibleRuns--
		if backend.IsRecalled(m.result.Err) {
			f.takeBack(m.grant)
		}
		f.lastError = m.result.Err
	}
	if event != "answered" {
		f.log.Warn("copy of a request failed", "request", f.request.ID, "backend", m.grant.entry.ID, "event", event,
			"fate", m.result.Fate.String(), "status", statusOf(m.result), "error", m.result.Err,
			"elapsed_ms", time.Since(m.grant.grantedAt).Milliseconds(), "copies_left", f.copiesInFlight)
	}
	f.fire(event)
}

// takeBack undoes a copy that waited for a connection and was not sent: it counts neither as a copy nor as a try of its server.
func (f *forward) takeBack(g *grant) {
	f.copiesSent--
	if i := slices.Index(f.triedServers, g.entry.ID); i >= 0 {
		f.triedServers = slices.Delete(slices.Clone(f.triedServers), i, i+1)
	}
}

var errUndeclaredRefusal = errors.New("backend server refused the request without declaring that it did not run it")

// resultEvent returns the chart event for the result of a copy.
func (f *forward) resultEvent(r backend.Result) string {
	switch {
	case r.Fate.SurelyNotRun():
		return "not_run"
	case r.Answer == nil || r.UndeclaredRefusal && !f.route.Idempotent:
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
	return f.route.Idempotent && f.possibleRuns < f.route.Attempts && f.copiesSent < maxCopies && time.Now().Before(f.deadline)
}

// mayPlaceAgain reports whether another copy may be sent after a copy that surely did not run.
func (f *forward) mayPlaceAgain() bool {
	return (f.route.Idempotent || !f.mayHaveRun) && f.possibleRuns < f.route.Attempts && f.copiesSent < maxCopies &&
		time.Now().Before(f.deadline)
}

func (f *forward) mayHedge() bool { return !f.placing && f.copiesInFlight == 1 && f.mayRepeat() }

// requestServer requests a server from the director. The route is looked up again, so that the configuration now in force
// applies.
func (f *forward) requestServer() {
	if f.placing {
		return // the answer to the pending request will be used
	}
	snapshot := f.snapshots.Newest()
	route, ok := snapshot.Routes.Match(f.host, f.request.Path)
	f.placing = true
	if !ok {
		f.events <- placeRefusal{reason: reasonRouteRemoved, retryAfter: shortRetryAfter}
		return
	}
	f.route = route
	sendLimit := f.stop.sendLimit(time.Now(), f.deadline)
	m := placeRequest{
		id: f.request.ID, stopping: sendLimit.Before(f.deadline), route: route, fingerprint: f.fingerprint, service: dispatch.PickService(route, f.serviceDraw),
		triedServers: f.triedServers, firstCopy: f.copiesSent == 0, deadline: sendLimit,
		targetAt: f.receivedAt.Add(latencyTarget(route)), reply: func(m any) { f.events <- m },
	}
	if err := f.director.Offer(m); err != nil {
		f.events <- placeRefusal{reason: reasonBusy, retryAfter: shortRetryAfter}
	}
}

// eventsCapacity is enough for all messages that a request can receive, so that senders never block: one from the director
// and one for each copy.
const eventsCapacity = maxCopies + 2

// send sends one copy to the granted server.
func (f *forward) send() {
	g := f.nextGrant
	f.nextGrant, f.lastGrant = nil, g
	f.copiesSent++
	f.possibleRuns++
	f.copiesInFlight++
	if f.copiesSent > 1 {
		f.counters.resent.Inc(1)
	}
	if f.copiesInFlight > 1 {
		f.counters.hedged.Inc(1)
	}
	f.triedServers = append(f.triedServers, g.entry.ID)
	f.hedgeAt = time.Time{}
	if f.route.Idempotent {
		f.hedgeAt = time.Now().Add(max(g.hedgeAfter, minHedgeDelay))
	}
	f.log.Info("request is sent", "request", f.request.ID, "route", f.route.Name, "backend", g.entry.ID,
		"zone", g.entry.Place.Zone, "expected_ms", g.expected.Milliseconds(), "report_age_ms", g.reportAge.Milliseconds(),
		"check_delay_us", g.checkDelay.Microseconds(), "asked", g.consideredServers, "copy", f.copiesSent,
		"waited_ms", time.Since(f.receivedAt).Milliseconds())
	request := *f.request
	request.ExpectedServer = g.entry.ID
	request.Deadline = f.deadline
	ctx, events := f.ctx, f.events
	go func() { events <- copyResult{grant: g, result: g.pool.Do(ctx, &request)} }()
}

// abandonCopies discards the results of the copies and placements that are still pending when the reply is decided, and
// returns their grants to the director.
func (f *forward) abandonCopies() {
	copies, placing := f.copiesInFlight, f.placing
	if copies == 0 && !placing {
		return
	}
	events, director, log, counters, id := f.events, f.director, f.log, f.counters, f.request.ID
	go func() {
		for copies > 0 || placing {
			switch m := (<-events).(type) {
			case *grant:
				placing = false
				_ = director.Send(context.Background(), grantRelease{grant: m, cancelled: true}) // the director outlives all requests
			case placeRefusal:
				placing = false
			case copyResult:
				copies--
				reportForeignAnswers(log, counters, m.grant.entry.ID, id, m.result)
				discard(m.result)
				_ = director.Send(context.Background(), grantRelease{grant: m.grant, result: m.result, cancelled: true}) // same
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

// notifyDirector sends a message to the director.
func (f *forward) notifyDirector(m any) {
	// A lost message would leak a slot, so the send waits. The director outlives all requests.
	_ = f.director.Send(context.Background(), m)
}

func (f *forward) refuseDeclined() {
	f.refusal = placeRefusal{reason: reasonDeclined, retryAfter: shortRetryAfter}
}

func (f *forward) deliverAnswer() {
	f.counters.answer(dispatch.PickService(f.route, f.serviceDraw), f.route.Idempotent, time.Since(f.receivedAt))
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
	f.reply = f.localReply(http.StatusServiceUnavailable, fault.New(fault.Overloaded,
		"send the request again after the given time", "%s", f.refusal.reason.text), f.refusal.retryAfter)
}

func (f *forward) deliverFailure() {
	f.counters.failed.Inc(1)
	f.reply = f.localReply(http.StatusBadGateway, fault.New(fault.OutcomeUnknown,
		"check whether the request took effect", "the answer of the backend server was lost"), 0)
}

func (f *forward) deliverTimeout() {
	f.counters.expired.Inc(1)
	f.reply = f.localReply(http.StatusGatewayTimeout, fault.New(fault.DeadlineExceeded,
		"check whether the request took effect", "no answer in the time of the route"), 0)
}

// localReply returns a reply generated by the instance itself.
func (f *forward) localReply(status int, e *fault.Error, retryAfter time.Duration) reply {
	return localReply(f.dialect, f.request.ID, status, e, retryAfter)
}

// logOutcome logs the outcome of the request.
func (f *forward) logOutcome() {
	state := f.machine.State()
	level := slog.LevelInfo
	if state != "answered" || f.reply.status >= http.StatusInternalServerError {
		level = slog.LevelWarn
	}
	if state == "abandoned" {
		f.counters.abandoned.Inc(1)
	}
	reasonKey := "reason"
	if state != "refused" {
		reasonKey = "not_repeated" // the reason why a further copy was not placed
	}
	f.log.Log(context.Background(), level, "request ended", "request", f.request.ID, "route", f.route.Name, "state", state,
		"status", f.reply.status, "elapsed_ms", time.Since(f.receivedAt).Milliseconds(), "copies", f.copiesSent,
		"tried", strings.Join(f.triedServers, " "),
		reasonKey, f.refusal.reason.text, "retry_after_ms", f.refusal.retryAfter.Milliseconds(), "error", f.lastError)
}

// newForward returns the task of a request.
func (f *forwarder) newForward(ctx context.Context, in *incomingRequest) *forward {
	timeout := in.callerTimeout
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	return &forward{
		forwarder: f, ctx: ctx, request: in.request, host: in.host, receivedAt: in.receivedAt, callerTimeout: timeout,
		serviceDraw: rand.Float64(),
		fingerprint: fingerprintOf(in.request, in.host),
		events:      make(chan any, eventsCapacity),
	}
}

// formatRetryAfter formats the value of the Retry-After header, in seconds with fractions.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
