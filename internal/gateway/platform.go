package gateway

import (
	"context"
	"net/http"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

// RequestInfo is the metadata that a caller sends with its request.
type RequestInfo struct {
	// ID identifies the request; empty if the caller sent none.
	ID string
	// Timeout is the timeout of the caller; zero if it sent none.
	Timeout time.Duration
}

// Dialect translates the platform's header fields of callers and backend servers.
type Dialect interface {
	backend.Codec
	// RequestInfo decodes the header of a caller's request.
	RequestInfo(h http.Header) RequestInfo
	// SetRequestID adds the id of the request to an answer that the instance generates itself.
	SetRequestID(h http.Header, id string)
}

// Schema decodes and encodes the objects of the store.
type Schema interface {
	Config(o objectapi.Object) (*fleet.Config, error)
	Backend(o objectapi.Object) (*fleet.Backend, error)
	Instance(o objectapi.Object) (fleet.Instance, error)
	EncodeInstance(i fleet.Instance) ([]byte, error)
	// Strike decodes a strike (a crash of a backend server attributed to a request). EncodeStrike returns the name and the
	// value of its object; equal strikes have the same name.
	Strike(o objectapi.Object) (quarantine.Strike, error)
	EncodeStrike(s quarantine.Strike) (string, []byte, error)
	// Trial decodes the claim of a trial, which is of the same kind as strikes. It returns false if the object is no claim.
	// EncodeTrial returns the name and the value of its object; equal trials have the same name.
	Trial(o objectapi.Object) (quarantine.Trial, bool)
	EncodeTrial(t quarantine.Trial) (string, []byte, error)
}

// Store is the part of the platform's store that a gateway uses. Errors are those of objectapi.API, and fault.Overloaded
// when the store rejects a call because of its load. An answer that cannot be read is fault.Invalid. An object whose name
// cannot be read has an empty name; one whose revision cannot be read has revision zero and no value.
type Store interface {
	// List returns all objects of a kind and the position from which Changes continues.
	List(ctx context.Context, kind objectapi.Kind) ([]objectapi.Object, objectapi.Position, error)
	// Changes returns the changes after a position and the position from which the next call continues. It waits up to the
	// given time for the first change. If the returned position is of another era, the changes do not continue from the given one.
	Changes(ctx context.Context, kind objectapi.Kind, after objectapi.Position, wait time.Duration) ([]objectapi.Event,
		objectapi.Position, error)
	// Create creates an object. It fails with fault.Conflict if the object exists.
	Create(ctx context.Context, kind objectapi.Kind, name string, value []byte) error
	// Write creates an object or replaces its value.
	Write(ctx context.Context, kind objectapi.Kind, name string, value []byte) error
	// Remove deletes an object. It is not an error if the object does not exist.
	Remove(ctx context.Context, kind objectapi.Kind, name string) error
	// ObserveEras makes the store call a function for each answer, before the call returns. It is called once, before the first
	// call.
	ObserveEras(observe func(context.Context, EraReport))
}

// EraReport is the era that an answer of the store names.
type EraReport struct {
	// Era is zero if none is named, or none that can be read.
	Era uint64
	// Problem says why the era cannot be read; empty if it can or none is named.
	Problem string
	// CallBegan is when the call began.
	CallBegan time.Time
}
