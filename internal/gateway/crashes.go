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
	// confirmCrash is the time after a broken connection within which a refused connection or a new start of the server
	// confirms a crash.
	confirmCrash = 5 * time.Second
	// mostExamined is the maximum number of health checks after a broken connection. One may not be enough, because other
	// connections of the pool may have broken as well.
	mostExamined = 4
	// strikeCapacity is the maximum number of strikes that wait to be written; further ones are known to this instance only.
	strikeCapacity = 64
	// strikeTries is the maximum number of attempts to write one strike.
	strikeTries = 4
)

// crashes is the part of the director that detects requests that crash backend servers. Strikes (crashes attributed to
// a request) are shared through the store, since such a request may be retried at any instance.
type crashes struct {
	quarantine *quarantine.Quarantine
	log        *slog.Logger
	// write queues the strikes that this instance recorded, to be written to the store.
	write *task.Mailbox[quarantine.Strike]
}

func newCrashes(log *slog.Logger) (*crashes, error) {
	ch, err := charts.Load("quarantine", nil)
	if err != nil {
		return nil, err
	}
	q, err := quarantine.New(ch, confirmCrash)
	if err != nil {
		return nil, err
	}
	return &crashes{quarantine: q, log: log, write: task.NewMailbox[quarantine.Strike]("strikes", strikeCapacity)}, nil
}

func serverOf(entry *fleet.Backend) quarantine.Server {
	return quarantine.Server{Service: entry.Service, Name: entry.ID}
}

// fingerprintOf returns the fingerprint of a request, which is the same for equal requests. Instances share no secret, so
// the digest has no key.
func fingerprintOf(request *call.Request, host string) quarantine.Fingerprint {
	alike := *request
	alike.Service = host
	return quarantine.Of(nil, &alike)
}

// refuses reports whether equal requests are quarantined because they crashed backend servers.
func (c *crashes) refuses(now time.Time, f quarantine.Fingerprint) bool {
	c.quarantine.Tick(now)
	return c.quarantine.TreatmentOf(f) == quarantine.Refuse
}

// broke reports whether a copy ended in a way that a crash of its server can cause.
func broke(ctx context.Context, r backend.Result) bool {
	return r.Answer == nil && r.Fate == call.MaybeRun && ctx.Err() == nil && !backend.IsTimeout(r.Err)
}

// lost records a copy whose connection broke.
func (c *crashes) lost(now time.Time, entry *fleet.Backend, f quarantine.Fingerprint) {
	c.share(c.quarantine.Lost(now, quarantine.Loss{Server: serverOf(entry), Incarnation: entry.Incarnation(), Fingerprint: f}))
}

// checked records the result of a health check.
func (c *crashes) checked(now time.Time, entry *fleet.Backend, r backend.Result) {
	switch {
	case r.Refused:
		c.share(c.quarantine.Refused(now, serverOf(entry)))
	case r.Answer != nil:
		c.quarantine.Accepted(now, serverOf(entry))
	}
}

// started records the start of a server.
func (c *crashes) started(now time.Time, entry *fleet.Backend) {
	c.share(c.quarantine.Started(now, serverOf(entry), entry.Incarnation()))
}

// share logs strikes and queues them to be written.
func (c *crashes) share(strikes []quarantine.Strike) {
	for _, s := range strikes {
		err := c.write.Offer(s)
		c.log.Warn("backend server crashed while a request ran", "backend", s.Crash.Server.Name, "service", s.Crash.Server.Service,
			"fingerprint", hex.EncodeToString(s.Fingerprint[:]), "error", err)
	}
}

// writeStrikes is the body of the task that writes strikes to the store.
func (g *Gateway) writeStrikes(ctx context.Context) error {
	for {
		select {
		case s := <-g.director.crashes.write.C():
			g.writeStrike(ctx, s)
		case <-ctx.Done():
			return nil
		}
	}
}

// writeStrike writes one strike and retries with backoff.
func (g *Gateway) writeStrike(ctx context.Context, s quarantine.Strike) {
	name, value, err := g.schema.EncodeStrike(s)
	for try := 0; err == nil && try < strikeTries; try++ {
		if err = g.store.Write(ctx, objectapi.Strikes, name, value); err == nil {
			return
		}
		task.Pause(ctx, firstPause<<try)
		if try+1 < strikeTries {
			err = nil
		}
	}
	g.log.Warn("strike was not written to the store; only this instance knows it", "error", err)
}
