package fault

// Kinds of errors. docs/errors.md lists each with its HTTP status and remedy.
const (
	// Internal is an unexpected error without a kind of its own.
	Internal Kind = "internal"
	// Invalid is malformed input: a document, a setting, a chart, a message.
	Invalid Kind = "invalid"
	// BadRequest is a malformed request of a caller.
	BadRequest Kind = "bad-request"
	// TooLarge is a request body or header above its limit.
	TooLarge Kind = "too-large"
	// UnknownService is a request for a service without a document in force.
	UnknownService Kind = "unknown-service"
	// UnknownRoute is a request that no route of the service matches.
	UnknownRoute Kind = "unknown-route"
	// WrongRegion is a request outside its home regions.
	WrongRegion Kind = "wrong-region"
	// Overloaded is a full queue or mailbox, or no server with free capacity before the deadline.
	Overloaded Kind = "overloaded"
	// NoServer is a service without an eligible backend server.
	NoServer Kind = "no-server"
	// DeadlineExceeded is a request whose deadline passed before it was sent.
	DeadlineExceeded Kind = "deadline-exceeded"
	// TooManyHops is a nested call above the hop limit.
	TooManyHops Kind = "too-many-hops"
	// OutcomeUnknown is a request that may have run and whose answer was lost.
	OutcomeUnknown Kind = "outcome-unknown"
	// InProgress is a once-only request whose first copy is still running.
	InProgress Kind = "in-progress"
	// AlreadyRun is a once-only request that has run and whose answer is no longer cached.
	AlreadyRun Kind = "already-run"
	// KeyReused is a once-only request whose key belongs to another request.
	KeyReused Kind = "key-reused"
	// NoClaimsKey is a once-only request at an instance without the setting claims.key.
	NoClaimsKey Kind = "no-claims-key"
	// MissingKey is a once-only request without an idempotency key.
	MissingKey Kind = "missing-key"
	// Quarantined is a request that has crashed backend servers.
	Quarantined Kind = "quarantined"
	// StoreUnavailable is an object API that does not answer.
	StoreUnavailable Kind = "store-unavailable"
	// Conflict is a conditional update whose version is no longer current.
	Conflict Kind = "conflict"
	// NotFound is an object that does not exist.
	NotFound Kind = "not-found"
	// TooOld is a watch that resumes from a version that the object API no longer has.
	TooOld Kind = "too-old"
	// AmbiguousWrite is a write whose answer was lost; it may have taken effect.
	AmbiguousWrite Kind = "ambiguous-write"
	// Stopping is an instance or task that shuts down and accepts no new work.
	Stopping Kind = "stopping"
	// UnexpectedEvent is an event that a state chart does not accept in its current state.
	UnexpectedEvent Kind = "unexpected-event"
	// PeerUnavailable is a peer instance that does not answer.
	PeerUnavailable Kind = "peer-unavailable"
	// BadPeer is a message from a peer that was rejected: malformed, too large or of an unknown version.
	BadPeer Kind = "bad-peer"
	// BadBackend is an answer of a backend server that does not follow the protocol.
	BadBackend Kind = "bad-backend"
)
