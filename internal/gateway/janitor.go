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
	// roundInterval is the time between two rounds of the janitor, a small fraction of expiry.MinAbsence.
	roundInterval = time.Minute
	// reachTimeout is the timeout of a connection attempt to an instance: many round trips between regions.
	reachTimeout = 2 * time.Second
)

// entriesRequest requests the known entries of the fleet from the board.
type entriesRequest struct{ reply chan<- fleetEntries }

// fleetEntries are the entries in the store that instances have written.
type fleetEntries struct {
	// readsStore is true if this instance reads the store.
	readsStore bool
	instances  []fleet.Instance
	// strikes are the names of expired strikes and of expired claims of trials.
	strikes []string
}

// janitor is the task that removes the entries of instances that no longer exist, and expired strikes. It works only at
// an instance that reads the store; several at a time do no harm.
type janitor struct {
	self     string
	board    *task.Mailbox[any]
	store    Store
	absences *expiry.AbsenceTracker
	// reach reports whether an instance accepts connections at an address.
	reach func(ctx context.Context, address string) bool
	log   *slog.Logger
}

func newJanitor(self string, board *task.Mailbox[any], store Store, log *slog.Logger) *janitor {
	return &janitor{self: self, board: board, store: store, absences: expiry.NewAbsenceTracker(), reach: reach, log: log}
}

// reach opens and closes a connection.
func reach(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	conn, err := tcp.Dial(ctx, address)
	if err != nil {
		return false
	}
	_ = conn.Close() // it was only opened to test the address
	return true
}

// run is the body of the task.
func (j *janitor) run(ctx context.Context) error {
	for task.Pause(ctx, roundInterval) {
		entries, err := task.Ask(ctx, j.board, func(reply chan<- fleetEntries) any { return entriesRequest{reply: reply} })
		if err != nil {
			return nil // the instance stops
		}
		if !entries.readsStore {
			j.absences = expiry.NewAbsenceTracker() // another instance does the rounds from now on
			continue
		}
		j.round(ctx, entries)
	}
	return nil
}

// round removes the entries of instances that were unreachable for too long, and expired strikes.
func (j *janitor) round(ctx context.Context, entries fleetEntries) {
	reached := map[string]bool{}
	for _, i := range entries.instances {
		if i.Name != j.self {
			reached[i.Name] = j.reach(ctx, i.Address)
		}
	}
	for _, name := range j.absences.RecordRound(time.Now(), reached) {
		j.remove(ctx, objectapi.Instances, name)
	}
	for _, name := range entries.strikes[:min(len(entries.strikes), expiry.MaxRemovedPerRound)] {
		j.remove(ctx, objectapi.Strikes, name)
	}
}

func (j *janitor) remove(ctx context.Context, kind objectapi.Kind, name string) {
	if err := j.store.Remove(ctx, kind, name); err != nil {
		j.log.Warn("stale entry was not removed from the store; the next round tries again", "kind", string(kind),
			"name", name, "error", err)
		return
	}
	j.log.Info("stale entry is removed from the store", "kind", string(kind), "name", name)
}

// fleetEntries returns the known instances and the names of expired strikes.
func (b *board) fleetEntries(now time.Time) fleetEntries {
	entries := fleetEntries{readsStore: b.source.machine.In("reading")}
	for _, i := range b.instances {
		entries.instances = append(entries.instances, i)
	}
	for name, s := range b.strikes {
		if isExpired(now, s.Crash.At) {
			entries.strikes = append(entries.strikes, name)
		}
	}
	for name, at := range b.trials {
		if isExpired(now, at) {
			entries.strikes = append(entries.strikes, name)
		}
	}
	slices.Sort(entries.strikes)
	return entries
}
