package gateway

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// measuredStore counts the calls of a store by outcome, since each call is billed.
type measuredStore struct {
	store    Store
	registry metrics.Registry
}

// count counts one call. The outcome is "answered" or the kind of the error.
func (s measuredStore) count(call string, err error) {
	outcome := "answered"
	if err != nil {
		outcome = string(fault.KindOf(err))
	}
	metrics.GetOrRegisterCounter("store.calls."+call+"."+outcome, s.registry).Inc(1)
}

// ObserveEras implements Store.
func (s measuredStore) ObserveEras(observe func(context.Context, EraReport)) {
	s.store.ObserveEras(observe)
}

// List implements Store.
func (s measuredStore) List(ctx context.Context, kind objectapi.Kind) ([]objectapi.Object, objectapi.Position, error) {
	objects, position, err := s.store.List(ctx, kind)
	s.count("list", err)
	return objects, position, err
}

// Changes implements Store.
func (s measuredStore) Changes(ctx context.Context, kind objectapi.Kind, after objectapi.Position,
	wait time.Duration) ([]objectapi.Event, objectapi.Position, error) {
	events, position, err := s.store.Changes(ctx, kind, after, wait)
	s.count("changes", err)
	return events, position, err
}

// Create implements Store.
func (s measuredStore) Create(ctx context.Context, kind objectapi.Kind, name string, value []byte) error {
	err := s.store.Create(ctx, kind, name, value)
	s.count("create", err)
	return err
}

// Write implements Store.
func (s measuredStore) Write(ctx context.Context, kind objectapi.Kind, name string, value []byte) error {
	err := s.store.Write(ctx, kind, name, value)
	s.count("write", err)
	return err
}

// Remove implements Store.
func (s measuredStore) Remove(ctx context.Context, kind objectapi.Kind, name string) error {
	err := s.store.Remove(ctx, kind, name)
	s.count("remove", err)
	return err
}
