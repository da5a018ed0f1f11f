package gateway

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/expiry"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/task"
	"fuchsiahub.example/fuchsiahub/internal/tcp"
)

const (
	// roundPause is the time between two rounds of the janitor: a small part of expiry.Term.
	roundPause = time.Minute
	// reachTimeout bounds one look whether an instance is there: many round trips between regions.
	reachTimeout = 2 * time.Second
)

// entriesWanted asks the board for the entries of the fleet that it knows.
type entriesWanted struct{ reply chan<- fleetEntries }

// fleetEntries are entries in the store that the instances have written.
type fleetEntries struct {
	// reading is true when this instance reads the store.
	reading   bool
	instances []fleet.Instance
	// strikes are the names of strikes that no longer count.
	strikes []string
}

// janitor is the task that removes entries of instances that are gone, and strikes that no longer count. Only an instance
// that reads the store does so; several at a time do no harm.
type janitor struct {
	self   string
	board  *task.Mailbox[any]
	store  Store
	census *expiry.Census
	// reach reports whether an instance takes connections at an address.
	reach func(ctx context.Context, address string) bool
	log   *slog.Logger
}

func newJanitor(self string, board *task.Mailbox[any], store Store, log *slog.Logger) *janitor {
	return &janitor{self: self, board: board, store: store, census: expiry.NewCensus(), reach: reach, log: log}
}

// reach opens a connection and closes it.
func reach(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	conn, err := tcp.Dial(ctx, address)
	if err != nil {
		return false
	}
	_ = conn.Close() // that it was opened is all that counts
	return true
}

// run is the body of the task.
func (j *janitor) run(ctx context.Context) error {
	for task.Pause(ctx, roundPause) {
		held, err := task.Ask(ctx, j.board, func(reply chan<- fleetEntries) any { return entriesWanted{reply: reply} })
		if err != nil {
			return nil // the instance stops
		}
		if !held.reading {
			j.census = expiry.NewCensus() // another instance looks from now on
			continue
		}
		j.round(ctx, held)
	}
	return nil
}

func (j *janitor) round(ctx context.Context, held fleetEntries) {
	reached := map[string]bool{}
	for _, i := range held.instances {
		if i.Name != j.self {
			reached[i.Name] = j.reach(ctx, i.Address)
		}
	}
	for _, name := range j.census.Round(time.Now(), reached) {
		j.remove(ctx, objectapi.Instances, name)
	}
	for _, name := range held.strikes[:min(len(held.strikes), expiry.MostRemoved)] {
		j.remove(ctx, objectapi.Strikes, name)
	}
}

func (j *janitor) remove(ctx context.Context, kind objectapi.Kind, name string) {
	if err := j.store.Remove(ctx, kind, name); err != nil {
		j.log.Warn("entry that belongs to nobody is not removed; the next round tries again", "kind", string(kind), "name", name, "error", err)
		return
	}
	j.log.Info("entry that belongs to nobody is removed from the store", "kind", string(kind), "name", name)
}

// fleetEntries returns the entries of the fleet.
func (b *board) fleetEntries(now time.Time) fleetEntries {
	held := fleetEntries{reading: b.reader.machine.In("reading")}
	for _, i := range b.instances {
		held.instances = append(held.instances, i)
	}
	for name, at := range b.strikes {
		if now.Sub(at) > strikeKept {
			held.strikes = append(held.strikes, name)
		}
	}
	slices.Sort(held.strikes)
	return held
}
