package node

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/decide/once"
	"fuchsiahub.example/fuchsiahub/internal/decide/route"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// claimTimeout bounds the wait for the owner of a partition. It is longer than one object API call, so that the owner can
// read an object again after a write with an unknown outcome.
const claimTimeout = 3 * time.Second

// ClaimSettings are the settings of once-only claims. Key and Partitions must be equal on all instances.
type ClaimSettings struct {
	// Key is the secret key of the digests. Without it, requests on once-only routes are refused.
	Key []byte
	// Partitions is the number of partitions for each set of allowed regions. Zero means DefaultClaimPartitions.
	Partitions int
	// WritesPerSecond is the write budget of all partitions together. Zero means DefaultClaimWrites.
	WritesPerSecond int
	// KeptBytes bounds the memory for cached answers at one instance for one set of allowed regions. Zero means
	// DefaultClaimKeptBytes.
	KeptBytes int
}

// Defaults of ClaimSettings.
const (
	DefaultClaimPartitions = 4
	DefaultClaimWrites     = 200
	DefaultClaimKeptBytes  = 16 << 20
)

func (s *ClaimSettings) setDefaults() {
	if s.Partitions == 0 {
		s.Partitions = DefaultClaimPartitions
	}
	if s.WritesPerSecond == 0 {
		s.WritesPerSecond = DefaultClaimWrites
	}
	if s.KeptBytes == 0 {
		s.KeptBytes = DefaultClaimKeptBytes
	}
}

// ClaimsOptions are the dependencies of Claims.
type ClaimsOptions struct {
	Settings ClaimSettings
	Self     once.Holder
	// Region is the region of this instance.
	Region string
	API    objectapi.API
	Peers  peer.Caller
	// View returns the current view of the fleet; it never returns nil.
	View func() *member.View
	// RegionSetCount returns the number of distinct sets of allowed regions in the documents in force; see once.RegionSets.
	RegionSetCount func() int
	Log            *slog.Logger
}

// Claims records once-only claims. It sends claims for requests that enter at this instance, and handles the claims of all
// instances for the partitions that this instance owns.
type Claims struct {
	options     ClaimsOptions
	partitions  *partitions
	settlements *settlements
	layout      *claimLayout
	lastAttempt atomic.Uint64
}

// claim is a claim that this instance holds or may hold.
type claim struct {
	partition once.PartitionID
	digest    once.Digest
	check     once.ContentDigest
	window    time.Duration
	holder    once.Holder
	attempt   uint64
	windowEnd time.Time
	// unconfirmed is true if the owner did not reply: the claim may still be in flight and be recorded later.
	unconfirmed bool
}

// NewClaims returns the tasks of once-only claims. Run starts them.
func NewClaims(options ClaimsOptions) *Claims {
	options.Settings.setDefaults()
	c := &Claims{options: options, partitions: newPartitions(options)}
	c.settlements = newSettlements(c.sendSettlement, options.Log)
	c.layout = newClaimLayout(options.Settings, options.API, options.Log)
	return c
}

// Run runs the tasks until the context has ended and the work in flight is finished.
func (c *Claims) Run(ctx context.Context) error {
	settlementTasks := task.NewGroup(ctx)
	if len(c.options.Settings.Key) > 0 {
		settlementTasks.Go("claims layout", c.layout.run)
	}
	settlementTasks.Go("settlements", c.settlements.run)
	// The partitions task ends after the settlements task, which may settle claims in partitions of this instance.
	partitionTasks := task.NewGroup(context.WithoutCancel(ctx))
	partitionTasks.Go("partitions", c.partitions.run)
	firstErr := settlementTasks.Wait()
	partitionTasks.Stop()
	if err := partitionTasks.Wait(); firstErr == nil {
		firstErr = err
	}
	return firstErr
}

// ClaimsStatus is the status of the claims at one instance, for operators.
type ClaimsStatus struct {
	Partitions []PartitionStatus `json:"partitions"`
}

// PartitionStatus is the status of one partition that this instance has opened as its owner.
type PartitionStatus struct {
	Name string `json:"name"`
	// State is a state of charts/partition.toml.
	State string `json:"state"`
	// Claims is the number of claims in memory.
	Claims int `json:"claims"`
}

// Status returns the status of the claims at this instance.
func (c *Claims) Status(ctx context.Context) (ClaimsStatus, error) {
	return task.Ask(ctx, c.partitions.inbox, func(reply chan<- ClaimsStatus) any { return claimsStatusRequest{reply: reply} })
}

// claimResult is the result of a claim. Event is an event of charts/request.toml.
type claimResult struct {
	event  string
	claim  *claim // set if the claim is held or may be held
	answer *call.Answer
	err    error
}

// requestClaim claims the key of a request at the owner of its partition. The request may be sent only if the claim is
// granted.
func (c *Claims) requestClaim(ctx context.Context, req *call.Request, policy route.Policy) claimResult {
	if c == nil || len(c.options.Settings.Key) == 0 {
		return claimResult{event: "refused", err: fault.New(fault.NoClaimsKey, "set claims.key to the same secret in the settings of all instances",
			"route %q runs a request at most once and no claims key is set", policy.Route.Name).MarkNotRun(0)}
	}
	if err := c.layout.problem(); err != nil {
		return claimResult{event: "refused", err: err}
	}
	held := c.newClaim(req, policy)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := c.sendClaim(ctx, held)
	if err != nil {
		held.unconfirmed = true
		return claimResult{event: "refused", claim: held, err: fault.Wrap(err, fault.StoreUnavailable, "send the request again later",
			"the owner of the once-only claim did not answer").MarkNotRun(retryAfter)}
	}
	return resultOfVerdict(held, reply)
}

func (c *Claims) newClaim(req *call.Request, policy route.Policy) *claim {
	secret := c.options.Settings.Key
	digest := once.DigestOf(secret, req.Service, req.Tenant, policy.Key)
	window := policy.Route.OnceWindow + time.Until(policy.Deadline)
	return &claim{
		partition: once.PartitionIDOf(digest, policy.Regions, c.options.Settings.Partitions), digest: digest, check: once.ContentDigestOf(secret, req),
		window: window, holder: c.options.Self, attempt: c.lastAttempt.Add(1), windowEnd: time.Now().Add(window),
	}
}

// sendClaim sends the claim to the owner. If that instance replies that another instance is the owner, it has recorded
// nothing, and the claim is sent once more, to that other instance.
func (c *Claims) sendClaim(ctx context.Context, held *claim) (claimReply, error) {
	owner, ok := held.partition.Owner(c.options.View())
	if !ok {
		return claimReply{}, fault.New(fault.PeerUnavailable, "check the instances of the allowed regions", "no instance may own partition %s", held.partition.Name())
	}
	reply, err := c.sendClaimTo(ctx, owner.Name, held)
	if err != nil || reply.Verdict != once.NotOwner || reply.owner == "" || reply.owner == owner.Name {
		return reply, err
	}
	next, ok := c.options.View().Find(reply.owner)
	if !ok || !held.partition.Allows(next.Region) {
		return reply, nil
	}
	return c.sendClaimTo(ctx, next.Name, held)
}

func (c *Claims) sendClaimTo(ctx context.Context, owner string, held *claim) (claimReply, error) {
	if owner == c.options.Self.Instance {
		return c.partitions.claim(ctx, held.partition, once.ClaimRequest{
			Digest: held.digest, Check: held.check, Window: held.window, Holder: held.holder, Attempt: held.attempt,
		})
	}
	reply, err := c.options.Peers.Claim(ctx, owner, encodeClaim(c.sender(), held))
	if err != nil {
		return claimReply{}, err
	}
	c.logInvalidAnswer(owner, reply.GetAnswer())
	return decodeClaimReply(reply)
}

// resultOfVerdict converts the owner's verdict to an event of charts/request.toml.
func resultOfVerdict(held *claim, r claimReply) claimResult {
	switch r.Verdict {
	case once.Granted:
		return claimResult{event: "claimed", claim: held}
	case once.AlreadyAnswered:
		return replayResult(r.Answer)
	case once.InProgress:
		return duplicateResult(fault.New(fault.InProgress, "wait for the answer of the first copy, or send the same request again later",
			"a request with the same key is in progress"))
	case once.OutcomeUnknown:
		return duplicateResult(fault.New(fault.OutcomeUnknown, "find out whether the request took effect before you use a new key",
			"a request with the same key may have run and its answer was lost").MarkEarlierCopy())
	case once.KeyReused:
		return claimResult{event: "refused", err: fault.New(fault.KeyReused, "use a new key for each different request",
			"the key belongs to a request with another method, path, query or body").MarkNotRun(0)}
	case once.Refused:
		return claimResult{event: "refused", err: notRecordedError()}
	case once.NotOwner:
		return claimResult{event: "refused", err: fault.New(fault.StoreUnavailable, "send the request again later",
			"the owner of the once-only claim is changing").MarkNotRun(retryAfter)}
	}
	return claimResult{event: "refused", claim: held, err: notRecordedError()}
}

func notRecordedError() error {
	return fault.New(fault.StoreUnavailable, "send the request again later",
		"the once-only claim could not be recorded in the object API").MarkNotRun(retryAfter)
}

func replayResult(answer *call.Answer) claimResult {
	if answer != nil {
		return claimResult{event: "replayed", answer: answer}
	}
	return duplicateResult(fault.New(fault.AlreadyRun, "read the result from the service; do not use a new key for the same work",
		"a request with the same key has run and its answer is no longer kept"))
}

func duplicateResult(e *fault.Error) claimResult { return claimResult{event: "duplicate", err: e} }

// settle queues the settlement of a claim for its owner. It does not wait for the reply. Streamed answers are not cached.
func (c *Claims) settle(held *claim, outcome once.Settlement, answer *call.Answer) {
	if answer != nil && answer.Stream != nil {
		answer = nil
	}
	c.settlements.add(&settlement{partition: held.partition, windowEnd: held.windowEnd, sendTwice: held.unconfirmed, settle: once.SettleRequest{
		Digest: held.digest, Check: held.check, Window: held.window, Holder: held.holder, Attempt: held.attempt,
		Settlement: outcome, Answer: answer,
	}})
}

// sendSettlement sends one settlement to the owner and reports whether it was recorded.
func (c *Claims) sendSettlement(ctx context.Context, s *settlement) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	owner, ok := s.partition.Owner(c.options.View())
	if !ok {
		return false
	}
	if owner.Name == c.options.Self.Instance {
		recorded, err := c.partitions.settle(ctx, s.partition, s.settle)
		return err == nil && recorded
	}
	reply, err := c.options.Peers.Settle(ctx, owner.Name, encodeSettlement(c.sender(), s))
	return err == nil && reply.Recorded
}

// regionMayHold reports whether an instance of the region may hold data of the partition. The regions of a partition
// must be sorted.
func regionMayHold(partition once.PartitionID, region string) bool {
	return partition.Allows(region) && slices.IsSorted(partition.Regions)
}
