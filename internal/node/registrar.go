package node

import (
	"bytes"
	"context"
	"log/slog"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/docfile"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// registerTimeout bounds one try, so that a stop does not wait behind a slow object API.
	registerTimeout = 2 * time.Second
	// registerRetryFirst and registerRetryLimit bound the waits between tries.
	registerRetryFirst = 200 * time.Millisecond
	registerRetryLimit = 5 * time.Second
	// registerCheck is the time between two looks at the own entry, which is written again when it is missing.
	registerCheck = time.Minute
)

// Registrar is the task that keeps this instance in the platform's list of instances. It writes the entry when the
// instance starts, also over that of an earlier process of the same name, and removes its own entry at a graceful stop.
type Registrar struct {
	api   objectapi.API
	name  string
	value []byte
	log   *slog.Logger
	inbox *task.Mailbox[removal]
	ended chan struct{}
	// version is that of the own entry; zero while it is not written.
	version uint64
}

type removal struct {
	ctx   context.Context
	reply chan<- error
}

// NewRegistrar returns the task for one instance.
func NewRegistrar(api objectapi.API, entry document.Instance, log *slog.Logger) (*Registrar, error) {
	value, err := docfile.WriteInstance(&entry)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "entry of instance %s cannot be encoded", entry.Name)
	}
	return &Registrar{
		api: api, name: entry.Name, value: value, log: log,
		inbox: task.NewMailbox[removal]("registrar", 1), ended: make(chan struct{}),
	}, nil
}

// Remove deletes the entry of this instance and ends the task. It tries until the context ends.
func (r *Registrar) Remove(ctx context.Context) error {
	reply := make(chan error, 1)
	if err := r.inbox.Send(ctx, removal{ctx: ctx, reply: reply}); err != nil {
		return err
	}
	select {
	case err := <-reply:
		return err
	case <-r.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run is the body of the task. It ends after Remove or with the context.
func (r *Registrar) Run(ctx context.Context) error {
	defer close(r.ended)
	retry := backoff{first: registerRetryFirst, limit: registerRetryLimit}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(r.try(ctx, &retry))
		case m := <-r.inbox.C():
			m.reply <- r.remove(m.ctx)
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// try registers and returns the wait until the next look.
func (r *Registrar) try(ctx context.Context, retry *backoff) time.Duration {
	if err := r.register(ctx); err != nil {
		r.log.Warn("this instance may be missing from the platform's list", "error", err)
		return retry.next()
	}
	retry.reset()
	return registerCheck
}

// register writes the entry if it is missing or that of another process. When it is unclear whether an earlier try took effect, the next one reads it back.
func (r *Registrar) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	o, err := r.api.Get(ctx, objectapi.Instances, r.name)
	switch {
	case fault.Is(err, fault.NotFound):
		o, err = r.api.Create(ctx, objectapi.Instances, r.name, r.value)
	case err == nil && !bytes.Equal(o.Value, r.value):
		o, err = r.api.Update(ctx, objectapi.Instances, r.name, o.Version, r.value)
	}
	if err != nil {
		return err
	}
	r.version = o.Version
	return nil
}

// remove deletes the entry if it is still the one that this process wrote.
func (r *Registrar) remove(ctx context.Context) error {
	if r.version == 0 {
		return nil
	}
	retry := backoff{first: registerRetryFirst, limit: registerRetryLimit}
	for {
		err := r.api.Delete(ctx, objectapi.Instances, r.name, r.version)
		if err == nil || fault.Is(err, fault.NotFound) || fault.Is(err, fault.Conflict) {
			return nil // gone, or a later process of the same name has replaced it
		}
		if !task.Pause(ctx, retry.next()) {
			return fault.Wrap(err, fault.StoreUnavailable, "delete the object if the instance does not return",
				"entry %s/%s could not be deleted", objectapi.Instances, r.name)
		}
	}
}
