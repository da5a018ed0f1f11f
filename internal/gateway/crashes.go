package gateway

import (
	"context"
	"encoding/hex"
	"log/slog"
	"maps"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// crashConfirmWindow is the time after a broken connection within which a refused connection or a new start of the
	// server confirms a crash.
	crashConfirmWindow = 5 * time.Second
	// maxCrashChecks is the maximum number of health checks after a broken connection. One may not be enough, because other
	// connections of the pool may have broken as well.
	maxCrashChecks = 4
	// strikeCapacity is the maximum number of strikes and withdrawals that wait for the store; further ones are known to this
	// instance only.
	strikeCapacity = 64
	// maxStrikeWrites is the maximum number of attempts to write or remove one strike.
	maxStrikeWrites = 4
	// trialClaimTimeout bounds the wait of a request for the claim of its trial, many times the 4 ms of a call of the store.
	trialClaimTimeout = 250 * time.Millisecond
	// trialClaimInterval is the minimum time between two claims for one fingerprint, for example while the store is silent.
	trialClaimInterval = 2 * time.Second
)

// crashDetector is the part of the director that detects requests that crash backend servers. Strikes (crashes attributed to
// a request) are shared through the store, since such a request may be retried at any instance.
type crashDetector struct {
	quarantine *quarantine.Quarantine
	log        *slog.Logger
	// toStore queues strikes (quarantine.Strike) that this instance recorded, to be written to the store, and withdrawals of
	// strikes, in the order in which they were made.
	toStore *task.Mailbox[any]
}

// strikeWithdrawal removes strikes from the store that an answer disproves, and the claims of the trials up to a number.
type strikeWithdrawal struct {
	fingerprint quarantine.Fingerprint
	strikes     []quarantine.Strike
	trials      int
}

// trialClaim is the outcome of the claim of a trial for a request.
type trialClaim struct {
	placement placeRequest
	trial     quarantine.Trial
	err       error
}

func newCrashDetector(log *slog.Logger) (*crashDetector, error) {
	ch, err := charts.Load("quarantine", nil)
	if err != nil {
		return nil, err
	}
	q, err := quarantine.New(ch, crashConfirmWindow)
	if err != nil {
		return nil, err
	}
	return &crashDetector{quarantine: q, log: log, toStore: task.NewMailbox[any]("strikes", strikeCapacity)}, nil
}

func serverOf(entry *fleet.Backend) quarantine.Server {
	return quarantine.Server{Service: entry.Service, Name: entry.ID}
}

// fingerprintOf returns the fingerprint of a request, which is the same for equal requests. Instances share no secret, so
// the digest has no key.
func fingerprintOf(request *call.Request, host string) quarantine.Fingerprint {
	hashed := *request
	hashed.Service = host // the host takes the place of the service
	return quarantine.FingerprintOf(nil, &hashed)
}

// treatmentOf returns how a request is treated, given that equal requests may have crashed backend servers.
func (c *crashDetector) treatmentOf(now time.Time, f quarantine.Fingerprint) quarantine.Treatment {
	c.quarantine.Tick(now)
	return c.quarantine.TreatmentOf(now, f)
}

// requestAnswered withdraws the strikes that an answer disproves, also in the store.
func (c *crashDetector) requestAnswered(now time.Time, f quarantine.Fingerprint) {
	disproved, trials := c.quarantine.Clear(now, f)
	if len(disproved)+trials > 0 {
		c.withdraw(strikeWithdrawal{fingerprint: f, strikes: disproved, trials: trials})
	}
}

// strikeRead handles a strike found in the store. One that contradicts the answers of this instance is withdrawn.
func (c *crashDetector) strikeRead(now time.Time, s quarantine.Strike) {
	if !c.quarantine.Strike(now, s) {
		c.withdraw(strikeWithdrawal{fingerprint: s.Fingerprint, strikes: []quarantine.Strike{s}})
	}
}

// withdraw logs a withdrawal and queues it for the store.
func (c *crashDetector) withdraw(w strikeWithdrawal) {
	c.log.Info("strikes are withdrawn: an equal request was answered", "fingerprint", hex.EncodeToString(w.fingerprint[:]),
		"strikes", len(w.strikes), "trials", w.trials, "error", c.toStore.Offer(w))
}

// mayHaveCrashed reports whether a copy ended in a way that a crash of its server can cause.
func mayHaveCrashed(ctx context.Context, r backend.Result) bool {
	return r.Answer == nil && r.Fate == call.MaybeRun && ctx.Err() == nil && !backend.IsTimeout(r.Err) && !backend.IsInvalidAnswer(r.Err)
}

// copyLost records a copy whose connection broke.
func (c *crashDetector) copyLost(now time.Time, entry *fleet.Backend, f quarantine.Fingerprint) {
	c.shareStrikes(c.quarantine.ConnectionBroke(now, quarantine.BrokenConnection{Server: serverOf(entry), Incarnation: entry.Incarnation(),
		Fingerprint: f}))
}

// serverChecked records the result of a health check.
func (c *crashDetector) serverChecked(now time.Time, entry *fleet.Backend, r backend.Result) {
	switch {
	case r.ConnectionRefused:
		c.shareStrikes(c.quarantine.ConnectionRefused(now, serverOf(entry)))
	case r.Answer != nil || backend.IsInvalidAnswer(r.Err):
		c.quarantine.ConnectionAccepted(now, serverOf(entry))
	}
}

// serverStarted records the start of a server.
func (c *crashDetector) serverStarted(now time.Time, entry *fleet.Backend) {
	c.shareStrikes(c.quarantine.IncarnationReported(now, serverOf(entry), entry.Incarnation()))
}

// shareStrikes logs strikes and queues them to be written.
func (c *crashDetector) shareStrikes(strikes []quarantine.Strike) {
	for _, s := range strikes {
		err := c.toStore.Offer(s)
		c.log.Warn("backend server crashed while a request ran", "backend", s.Crash.Server.Name, "service", s.Crash.Server.Service,
			"fingerprint", hex.EncodeToString(s.Fingerprint[:]), "error", err)
	}
}

// storeStrikes is the body of the task that writes strikes to the store and removes those that are withdrawn.
func (g *Gateway) storeStrikes(ctx context.Context) error {
	for {
		select {
		case m := <-g.director.crashes.toStore.C():
			switch m := m.(type) {
			case quarantine.Strike:
				g.writeStrike(ctx, m)
			case strikeWithdrawal:
				g.removeStrikes(ctx, m)
			case rewrite:
				g.rewriteStrike(ctx, m)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// writeStrike writes one strike.
func (g *Gateway) writeStrike(ctx context.Context, s quarantine.Strike) {
	name, value, err := g.schema.EncodeStrike(s)
	if err == nil {
		err = retryWithBackoff(ctx, func() error { return g.store.Write(ctx, objectapi.Strikes, name, value) })
	}
	if err != nil {
		g.log.Warn("strike was not written to the store; only this instance knows it", "error", err)
	}
}

// rewriteStrike writes or removes a strike, or the claim of a trial, once more after the store has lost that.
func (g *Gateway) rewriteStrike(ctx context.Context, r rewrite) {
	err := retryWithBackoff(ctx, func() error {
		if r.remove {
			return g.store.Remove(ctx, objectapi.Strikes, r.object.Name)
		}
		err := g.store.Create(ctx, objectapi.Strikes, r.object.Name, r.object.Value)
		if fault.Is(err, fault.Conflict) {
			return nil // another instance has written it
		}
		return err
	})
	g.log.Info("strike that the store has lost is written again", "name", r.object.Name, "remove", r.remove, "error", err)
}

// removeStrikes removes withdrawn strikes and the claims of their trials. The instances that follow the store take them back.
func (g *Gateway) removeStrikes(ctx context.Context, w strikeWithdrawal) {
	remove := func(name string, err error) {
		if err == nil {
			err = retryWithBackoff(ctx, func() error { return g.store.Remove(ctx, objectapi.Strikes, name) })
		}
		if err != nil {
			g.log.Warn("withdrawn strike was not removed from the store; it lasts until a trial or its expiry", "name", name,
				"error", err)
		}
	}
	for _, s := range w.strikes {
		name, _, err := g.schema.EncodeStrike(s)
		remove(name, err)
	}
	for number := range w.trials {
		name, _, err := g.schema.EncodeTrial(quarantine.Trial{Fingerprint: w.fingerprint, Number: number + 1})
		remove(name, err)
	}
}

// retryWithBackoff calls the store until it succeeds, at most maxStrikeWrites times, and returns the last error.
func retryWithBackoff(ctx context.Context, call func() error) error {
	var err error
	for try := range maxStrikeWrites {
		if err = call(); err == nil || !task.Pause(ctx, minBackoff<<try) {
			return err
		}
	}
	return err
}

// claimTrial claims the trial that is due for a condemned request, so that one instance of the fleet runs it. The placement
// continues with the outcome. It returns false if the request is to be refused.
func (d *director) claimTrial(ctx context.Context, now time.Time, m placeRequest) bool {
	trial, due := d.crashes.quarantine.NextTrial(now, m.fingerprint)
	maps.DeleteFunc(d.claimedAt, func(_ quarantine.Fingerprint, at time.Time) bool { return now.Sub(at) >= trialClaimInterval })
	if _, claimed := d.claimedAt[m.fingerprint]; !due || claimed || d.claim == nil {
		return false
	}
	d.claimedAt[m.fingerprint] = now
	claim, inbox := d.claim, d.inbox
	go func() {
		claimCtx, cancel := context.WithTimeout(ctx, trialClaimTimeout)
		defer cancel()
		_ = inbox.Send(ctx, trialClaim{placement: m, trial: trial, err: claim(claimCtx, trial)}) // fails only at shutdown
	}()
	return true
}

// handleTrialClaim continues the placement of a request that has claimed a trial, or refuses it if another instance was
// earlier or the store does not answer.
func (d *director) handleTrialClaim(ctx context.Context, now time.Time, m trialClaim) {
	f := m.trial.Fingerprint
	d.log.Info("trial of a request whose equals crashed backend servers", "request", m.placement.id,
		"fingerprint", hex.EncodeToString(f[:]), "number", m.trial.Number, "runs", m.err == nil, "error", m.err)
	if m.err == nil || fault.Is(m.err, fault.Conflict) {
		d.crashes.quarantine.StartTrial(now, m.trial) // here or at another instance
	}
	if m.err != nil {
		d.refuseCondemned(now, &m.placement)
		return
	}
	m.placement.onTrial = true
	d.place(ctx, now, m.placement)
}

func (d *director) refuseCondemned(now time.Time, m *placeRequest) {
	m.reply(placeRefusal{reason: reasonCrashes, retryAfter: d.retryAfter(now, m, m.deadline.Sub(now))})
}

// createClaim creates the object that claims a trial.
func (g *Gateway) createClaim(ctx context.Context, t quarantine.Trial) error {
	name, value, err := g.schema.EncodeTrial(t)
	if err != nil {
		return err
	}
	return g.store.Create(ctx, objectapi.Strikes, name, value)
}
