package gateway

import (
	"context"
	"encoding/hex"
	"log/slog"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
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
	// strikeCapacity is the maximum number of strikes that wait to be written; further ones are known to this instance only.
	strikeCapacity = 64
	// maxStrikeWrites is the maximum number of attempts to write one strike.
	maxStrikeWrites = 4
)

// crashDetector is the part of the director that detects requests that crash backend servers. Strikes (crashes attributed to
// a request) are shared through the store, since such a request may be retried at any instance.
type crashDetector struct {
	quarantine *quarantine.Quarantine
	log        *slog.Logger
	// toWrite queues the strikes that this instance recorded, to be written to the store.
	toWrite *task.Mailbox[quarantine.Strike]
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
	return &crashDetector{quarantine: q, log: log, toWrite: task.NewMailbox[quarantine.Strike]("strikes", strikeCapacity)}, nil
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

// refuses reports whether a request is refused, because equal requests crashed a backend server and then crashed another or
// broke a connection to it.
func (c *crashDetector) refuses(now time.Time, f quarantine.Fingerprint) bool {
	c.quarantine.Tick(now)
	return c.quarantine.TreatmentOf(f) == quarantine.Refuse
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
		err := c.toWrite.Offer(s)
		c.log.Warn("backend server crashed while a request ran", "backend", s.Crash.Server.Name, "service", s.Crash.Server.Service,
			"fingerprint", hex.EncodeToString(s.Fingerprint[:]), "error", err)
	}
}

// writeStrikes is the body of the task that writes strikes to the store.
func (g *Gateway) writeStrikes(ctx context.Context) error {
	for {
		select {
		case s := <-g.director.crashes.toWrite.C():
			g.writeStrike(ctx, s)
		case <-ctx.Done():
			return nil
		}
	}
}

// writeStrike writes one strike and retries with backoff.
func (g *Gateway) writeStrike(ctx context.Context, s quarantine.Strike) {
	name, value, err := g.schema.EncodeStrike(s)
	for try := 0; err == nil && try < maxStrikeWrites; try++ {
		if err = g.store.Write(ctx, objectapi.Strikes, name, value); err == nil {
			return
		}
		task.Pause(ctx, minBackoff<<try)
		if try+1 < maxStrikeWrites {
			err = nil
		}
	}
	g.log.Warn("strike was not written to the store; only this instance knows it", "error", err)
}
