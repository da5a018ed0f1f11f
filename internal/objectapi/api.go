package objectapi

import "context"

// MaxValueBytes is the size of the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Kind is a class of objects.
type Kind string

// Kinds that fuchsiahub uses.
const (
	// Services holds one document per service, written by its owning team.
	Services Kind = "services"
	// Fleet holds the fleet document: regions, availability zones and the zones that are taken out.
	Fleet Kind = "fleet"
	// Backends holds lists of backend servers for services whose document leaves the list to the platform.
	Backends Kind = "backends"
	// Instances holds the platform's list of live and leaving instances, which lags behind the actual state.
	Instances Kind = "instances"
	// Sessions holds one session lease per instance.
	Sessions Kind = "sessions"
	// Keepers holds one object per availability zone, which assigns shards to the instances that keep them.
	Keepers Kind = "keepers"
	// Claims holds the partition heads and sealed segments of once-only claims.
	Claims Kind = "claims"
	// Audit holds segments of the audit trail.
	Audit Kind = "audit"
	// Configuration holds the operator's configuration of a deployment whose backend servers register themselves.
	Configuration Kind = "configuration"
	// Evacuations holds one object per availability zone that an operator has taken out.
	Evacuations Kind = "evacuations"
	// Strikes holds one object per request that has crashed backend servers.
	Strikes Kind = "strikes"
)

// Object is one object at one version. Value is immutable once the object has been returned.
type Object struct {
	Kind    Kind
	Name    string
	Version uint64
	// Era is the era of the store in which the object has this version; zero if the store names none. See Position.
	Era   uint64
	Value []byte
}

// Event is one change reported by a watch.
type Event struct {
	Object Object
	// Deleted is true when the object was deleted; Object.Version is then the version of the deletion.
	Deleted bool
}

// API is the part of the platform's object API that fuchsiahub uses. Errors are of the kinds fault.NotFound,
// fault.Conflict, fault.AmbiguousWrite, fault.StoreUnavailable, fault.TooOld and fault.Invalid.
type API interface {
	// Get returns the object at its current version.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind and the version at which a watch continues.
	List(ctx context.Context, kind Kind) ([]Object, uint64, error)
	// Create adds an object. It fails with fault.Conflict when the object exists.
	Create(ctx context.Context, kind Kind, name string, value []byte) (Object, error)
	// Update replaces the value if the object still has the given version; otherwise it fails with fault.Conflict.
	Update(ctx context.Context, kind Kind, name string, version uint64, value []byte) (Object, error)
	// Delete removes the object if it still has the given version; otherwise it fails with fault.Conflict.
	Delete(ctx context.Context, kind Kind, name string, version uint64) error
	// Watch reports changes of a kind after the given version. It fails with fault.TooOld when the platform no
	// longer has that version; the caller then lists again.
	Watch(ctx context.Context, kind Kind, after uint64) (Watch, error)
}

// Watch is a stream of changes, used by one task.
type Watch interface {
	// Next blocks until the next change. An error ends the watch.
	Next(ctx context.Context) (Event, error)
	// Close ends the watch.
	Close() error
}
