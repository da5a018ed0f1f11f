package objectapi

import (
	"context"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// mailboxSize is the maximum number of calls that wait for the store's task.
	mailboxSize = 256
	// historyLength is the number of changes of each kind that are kept, so that a watch can start at an earlier version.
	historyLength = 1024
)

// Switches inject failures into the store.
type Switches struct {
	// DelayMs is the delay of each call in milliseconds. Zero means no delay.
	DelayMs int `json:"delay_ms"`
	// Down makes every call fail as if the platform were unreachable, and ends all watches.
	Down bool `json:"down"`
	// LoseAnswers is the number of writes, counted from the next one that succeeds, that take effect without an answer.
	// Zero means none.
	LoseAnswers int `json:"lose_answers"`
	// StaleInstances freezes the visible list of instances at the time when the switch is set.
	StaleInstances bool `json:"stale_instances"`
	// OlderReads makes Get and List return the state at the time when the switch is set, as after a failover to a replica
	// that lags behind.
	OlderReads bool `json:"older_reads"`
}

// Counts holds the number of calls to the store. A watch counts as one read.
type Counts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// Store is a stand-in object API. Run is the body of its task; calls block until it runs.
type Store struct {
	inbox *task.Mailbox[any]
	ended chan struct{}
}

var _ objectapi.API = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{inbox: task.NewMailbox[any]("stand-in object API", mailboxSize), ended: make(chan struct{})}
}

// Messages to the store's task.
type (
	readRequest struct {
		kind  objectapi.Kind
		name  string
		reply chan<- readReply
	}
	readReply struct {
		delay   time.Duration
		objects []objectapi.Object
		version uint64
		err     error
	}
	writeRequest struct {
		action action
		object objectapi.Object
		reply  chan<- writeReply
	}
	writeReply struct {
		delay  time.Duration
		object objectapi.Object
		err    error
	}
	openWatch struct {
		kind  objectapi.Kind
		after uint64
		store *Store
		reply chan<- watchReply
	}
	watchReply struct {
		delay time.Duration
		watch *watch
		err   error
	}
	closeWatchRequest  struct{ watch *watch }
	cutWatchesRequest  struct{ reply chan<- struct{} }
	setSwitchesRequest struct {
		switches Switches
		reply    chan<- struct{}
	}
	getSwitchesRequest struct{ reply chan<- Switches }
	getCountsRequest   struct{ reply chan<- Counts }
)

type action int

const (
	create action = iota
	update
	remove
)

// Run is the body of the store's task. It returns when the context ends.
func (s *Store) Run(ctx context.Context) error {
	defer close(s.ended)
	st := newState()
	defer st.cutWatches("")
	for {
		select {
		case m := <-s.inbox.C():
			st.handle(m)
		case <-ctx.Done():
			return nil
		}
	}
}

func unavailableError(err error) error {
	return fault.Wrap(err, fault.StoreUnavailable, "check the platform's object API", "the object API does not answer")
}

// Get returns the object at its current version.
func (s *Store) Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error) {
	r, err := s.read(ctx, kind, name)
	if err != nil {
		return objectapi.Object{}, err
	}
	return r.objects[0], nil
}

// List returns all objects of a kind, and the version after which a watch reports the later changes.
func (s *Store) List(ctx context.Context, kind objectapi.Kind) ([]objectapi.Object, uint64, error) {
	r, err := s.read(ctx, kind, "")
	return r.objects, r.version, err
}

func (s *Store) read(ctx context.Context, kind objectapi.Kind, name string) (readReply, error) {
	r, err := task.AskUntil(ctx, s.ended, s.inbox, func(reply chan<- readReply) any { return readRequest{kind: kind, name: name, reply: reply} })
	if err == nil {
		task.Pause(ctx, r.delay)
		err = ctx.Err()
	}
	if err != nil {
		return readReply{}, unavailableError(err)
	}
	return r, r.err
}

// Create adds an object.
func (s *Store) Create(ctx context.Context, kind objectapi.Kind, name string, value []byte) (objectapi.Object, error) {
	return s.write(ctx, create, objectapi.Object{Kind: kind, Name: name, Value: value})
}

// Update replaces the value if the object still has the given version.
func (s *Store) Update(ctx context.Context, kind objectapi.Kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	return s.write(ctx, update, objectapi.Object{Kind: kind, Name: name, Version: version, Value: value})
}

// Delete removes the object if it still has the given version.
func (s *Store) Delete(ctx context.Context, kind objectapi.Kind, name string, version uint64) error {
	_, err := s.write(ctx, remove, objectapi.Object{Kind: kind, Name: name, Version: version})
	return err
}

func (s *Store) write(ctx context.Context, a action, object objectapi.Object) (objectapi.Object, error) {
	if len(object.Value) > objectapi.MaxValueBytes {
		return objectapi.Object{}, fault.New(fault.Invalid, "shorten the value", "value of %s/%s is larger than 1 MiB", object.Kind, object.Name)
	}
	object.Value = append([]byte(nil), object.Value...)
	r, err := task.AskUntil(ctx, s.ended, s.inbox, func(reply chan<- writeReply) any { return writeRequest{action: a, object: object, reply: reply} })
	if err == nil {
		task.Pause(ctx, r.delay)
		err = ctx.Err()
	}
	if err != nil {
		return objectapi.Object{}, fault.Wrap(err, fault.AmbiguousWrite, "read the object back", "the answer to a write was lost")
	}
	return r.object, r.err
}

// Watch reports changes of a kind after the given version.
func (s *Store) Watch(ctx context.Context, kind objectapi.Kind, after uint64) (objectapi.Watch, error) {
	r, err := task.AskUntil(ctx, s.ended, s.inbox, func(reply chan<- watchReply) any { return openWatch{kind: kind, after: after, store: s, reply: reply} })
	if err == nil {
		task.Pause(ctx, r.delay)
		err = ctx.Err()
	}
	if err != nil {
		if r.watch != nil {
			_ = r.watch.Close()
		}
		return nil, unavailableError(err)
	}
	if r.err != nil {
		return nil, r.err
	}
	return r.watch, nil
}

// Set changes the switches. It returns when they are in effect.
func (s *Store) Set(ctx context.Context, switches Switches) error {
	_, err := task.AskUntil(ctx, s.ended, s.inbox, func(reply chan<- struct{}) any { return setSwitchesRequest{switches: switches, reply: reply} })
	return err
}

// Switches returns the current switches. LoseAnswers is the number of answers that are still to be lost.
func (s *Store) Switches(ctx context.Context) (Switches, error) {
	return task.AskUntil(ctx, s.ended, s.inbox, func(reply chan<- Switches) any { return getSwitchesRequest{reply: reply} })
}

// CutWatches ends all watches with an error, as a broken connection does.
func (s *Store) CutWatches(ctx context.Context) error {
	_, err := task.AskUntil(ctx, s.ended, s.inbox, func(reply chan<- struct{}) any { return cutWatchesRequest{reply: reply} })
	return err
}

// Counts returns the number of calls to the store.
func (s *Store) Counts(ctx context.Context) (Counts, error) {
	return task.AskUntil(ctx, s.ended, s.inbox, func(reply chan<- Counts) any { return getCountsRequest{reply: reply} })
}
