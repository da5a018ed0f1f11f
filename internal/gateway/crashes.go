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
	// confirmCrash is how long after a broken connection a refused one, or a new start, shows that the server crashed.
	confirmCrash = 5 * time.Second
	// mostExamined bounds the health checks that follow a broken connection: other connections of the pool may have
	// broken as well.
	mostExamined = 4
	// strikeCapacity bounds the strikes that wait to be written; further ones are known to this instance only.
	strikeCapacity = 64
	// strikeTries bounds the writes of one strike.
	strikeTries = 4
)

// crashes is the part of the director that recognises requests which crash backend servers. Strikes are shared through
// the store, since such a request comes again at any instance.
type crashes struct {
	quarantine *quarantine.Quarantine
	log        *slog.Logger
	// write gets the strikes that this instance has found.
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

// fingerprintOf returns what equal requests have in common. Instances share no secret, so the digest has no key.
func fingerprintOf(request *call.Request, host string) quarantine.Fingerprint {
	alike := *request
	alike.Service = host
	return quarantine.Of(nil, &alike)
}

// refuses reports whether such requests crashed backend servers more than once.
func (c *crashes) refuses(now time.Time, f quarantine.Fingerprint) bool {
	c.quarantine.Tick(now)
	return c.quarantine.TreatmentOf(f) == quarantine.Refuse
}

// broke reports whether a copy ended in a way that a crash of its server would explain.
func broke(ctx context.Context, r backend.Result) bool {
	return r.Answer == nil && r.Fate == call.MaybeRun && ctx.Err() == nil && !backend.IsTimeout(r.Err)
}

// lost takes a copy whose connection broke.
func (c *crashes) lost(now time.Time, entry *fleet.Backend, f quarantine.Fingerprint) {
	c.share(c.quarantine.Lost(now, quarantine.Loss{Server: serverOf(entry), Incarnation: entry.Incarnation(), Fingerprint: f}))
}

// checked takes the outcome of a health check.
func (c *crashes) checked(now time.Time, entry *fleet.Backend, r backend.Result) {
	switch {
	case r.Refused:
		c.share(c.quarantine.Refused(now, serverOf(entry)))
	case r.Answer != nil:
		c.quarantine.Accepted(now, serverOf(entry))
	}
}

// started takes the start of a server.
func (c *crashes) started(now time.Time, entry *fleet.Backend) {
	c.share(c.quarantine.Started(now, serverOf(entry), entry.Incarnation()))
}

// share logs strikes and offers them to be written.
func (c *crashes) share(strikes []quarantine.Strike) {
	for _, s := range strikes {
		err := c.write.Offer(s)
		c.log.Warn("backend server crashed while a request ran", "backend", s.Crash.Server.Name, "service", s.Crash.Server.Service,
			"fingerprint", hex.EncodeToString(s.Fingerprint[:]), "error", err)
	}
}

// writeStrikes is the body of the task that writes strikes into the store.
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
	g.log.Warn("strike is known to this instance only", "error", err)
}
