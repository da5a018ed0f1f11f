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

// Envelope is what a caller says about its request besides the request itself.
type Envelope struct {
	// ID names the request; empty when the caller named none.
	ID string
	// Wait is how long the caller waits; zero when it did not say.
	Wait time.Duration
}

// Dialect translates header fields of callers and backend servers.
type Dialect interface {
	backend.Codec
	// Envelope reads the header of a caller's request.
	Envelope(h http.Header) Envelope
	// Name adds the id of the request to an answer that the instance gives itself.
	Name(h http.Header, id string)
}

// Schema decodes and encodes the objects of the store.
type Schema interface {
	Config(o objectapi.Object) (*fleet.Config, error)
	Backend(o objectapi.Object) (*fleet.Backend, error)
	Instance(o objectapi.Object) (fleet.Instance, error)
	EncodeInstance(i fleet.Instance) ([]byte, error)
	// Strike decodes a crash of a backend server while a request ran. EncodeStrike returns the name and the value of its
	// object; equal strikes have the same name.
	Strike(o objectapi.Object) (quarantine.Strike, error)
	EncodeStrike(s quarantine.Strike) (string, []byte, error)
}

// Store is what a gateway needs of the platform's store. Errors are of the kinds of objectapi.API, and
// fault.Overloaded when the store refuses a call because there are too many.
type Store interface {
	// List returns all objects of a kind and the revision from which Changes continues.
	List(ctx context.Context, kind objectapi.Kind) ([]objectapi.Object, uint64, error)
	// Changes returns the changes after a revision and the revision from which the next call continues. It waits for
	// the first change, at most for the given time.
	Changes(ctx context.Context, kind objectapi.Kind, after uint64, wait time.Duration) ([]objectapi.Event, uint64, error)
	// Write creates an object or replaces its value.
	Write(ctx context.Context, kind objectapi.Kind, name string, value []byte) error
	// Remove deletes an object; one that does not exist is no error.
	Remove(ctx context.Context, kind objectapi.Kind, name string) error
}
