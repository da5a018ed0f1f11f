package objectapi

import "context"

// MaxValueBytes is the largest value that the platform holds.
const MaxValueBytes = 1 << 20

// Kind is a class of objects.
type Kind string

// Kinds that fuchsiahub uses.
const (
	// Services holds one document per service, written by its owning team.
	Services Kind = "services"
	// Fleet holds the fleet document: regions, availability zones and which zones are out.
	Fleet Kind = "fleet"
	// Backends holds lists of backend servers for services whose document says that the platform names them.
	Backends Kind = "backends"
	// Instances is the platform's lagging list of live and leaving instances.
	Instances Kind = "instances"
	// Sessions holds one session lease per instance.
	Sessions Kind = "sessions"
	// Keepers holds one object per availability zone: which instance keeps which shard.
	Keepers Kind = "keepers"
	// Claims holds the partitions and segments of once-only claims.
	Claims Kind = "claims"
	// Audit holds segments of the audit trail.
	Audit Kind = "audit"
	// Configuration holds the operator's configuration of a deployment whose backend servers register themselves.
	Configuration Kind = "configuration"
	// Evacuations holds one object per availability zone that operators have taken out.
	Evacuations Kind = "evacuations"
	// Strikes holds one object per request that crashed backend servers.
	Strikes Kind = "strikes"
)

// Object is one object at one version. Value is not changed after the object was returned.
type Object struct {
	Kind    Kind
	Name    string
	Version uint64
	Value   []byte
}

// Event is one change that a watch reports.
type Event struct {
	Object Object
	// Deleted is true when the object was deleted; Object.Version is then the version of the deletion.
	Deleted bool
}

// API is what fuchsiahub needs of the platform's object API. Errors are of the kinds fault.NotFound,
// fault.Conflict, fault.AmbiguousWrite, fault.StoreUnavailable, fault.TooOld and fault.Invalid.
type API interface {
	// Get returns the object at its current version.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind and the version from which a watch continues the list.
	List(ctx context.Context, kind Kind) ([]Object, uint64, error)
	// Create adds an object. It fails with fault.Conflict when the object exists.
	Create(ctx context.Context, kind Kind, name string, value []byte) (Object, error)
	// Update replaces the value if the object still has the given version, else it fails with fault.Conflict.
	Update(ctx context.Context, kind Kind, name string, version uint64, value []byte) (Object, error)
	// Delete removes the object if it still has the given version, else it fails with fault.Conflict.
	Delete(ctx context.Context, kind Kind, name string, version uint64) error
	// Watch reports changes of a kind after the given version. It fails with fault.TooOld when the platform no
	// longer has that version; the caller then lists again.
	Watch(ctx context.Context, kind Kind, after uint64) (Watch, error)
}

// Watch is a stream of changes. It is owned by one task.
type Watch interface {
	// Next blocks until the next change. An error ends the watch.
	Next(ctx context.Context) (Event, error)
	// Close ends the watch.
	Close() error
}
