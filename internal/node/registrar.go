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
	// registerTimeout bounds one attempt to register, so that a slow object API does not delay a graceful stop.
	registerTimeout = 2 * time.Second
	// registerRetryFirst and registerRetryLimit bound the backoff between attempts.
	registerRetryFirst = 200 * time.Millisecond
	registerRetryLimit = 5 * time.Second
	// registerCheckInterval is the interval at which the entry is read, and written again if it is missing.
	registerCheckInterval = time.Minute
)

// Registrar is the task that keeps the entry of this instance in the platform's list of instances. It writes the entry
// when the instance starts, replacing that of an earlier process with the same name, and deletes it at a graceful stop.
type Registrar struct {
	api          objectapi.API
	name         string
	encodedEntry []byte
	log          *slog.Logger
	inbox        *task.Mailbox[removeRequest]
	ended        chan struct{}
	// version is the version of the entry that this process wrote; zero before it was written.
	version uint64
}

type removeRequest struct {
	ctx   context.Context
	reply chan<- error
}

// NewRegistrar returns the registrar task of an instance. Run starts it.
func NewRegistrar(api objectapi.API, entry document.Instance, log *slog.Logger) (*Registrar, error) {
	value, err := docfile.WriteInstance(&entry)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "entry of instance %s cannot be encoded", entry.Name)
	}
	return &Registrar{
		api: api, name: entry.Name, encodedEntry: value, log: log,
		inbox: task.NewMailbox[removeRequest]("registrar", 1), ended: make(chan struct{}),
	}, nil
}

// Remove deletes the entry of this instance and ends the task. It retries until the context ends.
func (r *Registrar) Remove(ctx context.Context) error {
	reply := make(chan error, 1)
	if err := r.inbox.Send(ctx, removeRequest{ctx: ctx, reply: reply}); err != nil {
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
			timer.Reset(r.registerOnce(ctx, &retry))
		case m := <-r.inbox.C():
			m.reply <- r.remove(m.ctx)
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// registerOnce registers the instance once and returns the wait before the next attempt or check.
func (r *Registrar) registerOnce(ctx context.Context, retry *backoff) time.Duration {
	if err := r.register(ctx); err != nil {
		r.log.Warn("instance could not be registered in the platform's list", "error", err)
		return retry.next()
	}
	retry.reset()
	return registerCheckInterval
}

// register writes the entry if it is missing or belongs to another process. It reads the entry first, so a write with an
// unknown outcome is detected by the next attempt.
func (r *Registrar) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	o, err := r.api.Get(ctx, objectapi.Instances, r.name)
	switch {
	case fault.Is(err, fault.NotFound):
		o, err = r.api.Create(ctx, objectapi.Instances, r.name, r.encodedEntry)
	case err == nil && !bytes.Equal(o.Value, r.encodedEntry):
		o, err = r.api.Update(ctx, objectapi.Instances, r.name, o.Version, r.encodedEntry)
	}
	if err != nil {
		return err
	}
	r.version = o.Version
	return nil
}

// remove deletes the entry unless another process has replaced it.
func (r *Registrar) remove(ctx context.Context) error {
	if r.version == 0 {
		return nil
	}
	retry := backoff{first: registerRetryFirst, limit: registerRetryLimit}
	for {
		err := r.api.Delete(ctx, objectapi.Instances, r.name, r.version)
		if err == nil || fault.Is(err, fault.NotFound) || fault.Is(err, fault.Conflict) {
			return nil // deleted, or replaced by a later process with the same name
		}
		if !task.Pause(ctx, retry.next()) {
			return fault.Wrap(err, fault.StoreUnavailable, "delete the object if the instance does not return",
				"entry %s/%s could not be deleted", objectapi.Instances, r.name)
		}
	}
}
