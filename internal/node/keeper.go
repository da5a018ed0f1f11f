package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/decide/keeper"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// keeperCapacity is the mailbox size of the keeper task. Lease requests are refused while it is full; the holders
	// repeat them.
	keeperCapacity = 1024
	// keeperInterval is the interval at which the task claims shards and sends probes.
	keeperInterval = 250 * time.Millisecond
	// handoverAge is the maximum age of the server states that a previous keeper handed over. A server that got no
	// work for longer may have become cold.
	handoverAge = 10 * time.Second
)

// SessionView is the part of a session task that the keeper task calls. Session implements it.
type SessionView interface {
	Authority() session.Authority
	Observed() map[string]session.Record
	SetOwners(owners []session.Identity)
}

// KeeperConfig holds the settings and dependencies of a keeper task.
type KeeperConfig struct {
	Self member.Instance
	API  objectapi.API
	View func() *member.View
	// Docs returns the documents in force, or nil if there are none yet.
	Docs     func() *Documents
	Sessions SessionView
	Dial     backend.Dialer
	// ProbesPerSecond limits the probes of this instance. Zero disables them.
	ProbesPerSecond int
	// ProbeEvery is the minimum interval between two probes of a server. A value below keeper.MinProbeInterval is
	// raised to it.
	ProbeEvery time.Duration
	// OnShardTaken is called for each shard that this instance starts to keep. It must not block; nil is allowed.
	OnShardTaken func(key keeper.Key, epoch uint64)
	Log          *slog.Logger
}

// Keeper is the task that claims shards, probes their servers and leases their slots.
type Keeper struct {
	KeeperConfig
	id    session.Identity
	inbox *task.Mailbox[any]
	ended chan struct{}
	pendingCalls

	docs *Documents
	// specs holds the servers of each shard in this instance's region.
	specs  map[keeper.Key]shardSpec
	shards map[keeper.Key]*keeper.Shard
	tables tables
	prober *keeper.Prober
	probes map[keeper.ProbeTarget]*probePool
	// leaving is true once the handover of the shards has begun; warm holds the warm servers of each zone and
	// service.
	leaving      bool
	warm         map[string]map[string][]keeper.WarmServer
	leaveReplies []chan<- struct{}

	owners atomic.Pointer[map[keeper.Key]string]
}

// shardSpec is the configuration of one shard.
type shardSpec struct {
	doc     *document.Service
	servers []keeper.Server
}

// Messages to a keeper task.
type (
	keeperLeaseRequest struct {
		in    *peerpb.LeaseRequest
		reply chan<- keeperLeaseResult
	}
	keeperLeaseResult struct {
		out *peerpb.LeaseReply
		err error
	}
	leaveShardsRequest struct{ reply chan<- struct{} }
)

// NewKeeper returns the task. Run starts it.
func NewKeeper(config KeeperConfig) *Keeper {
	k := &Keeper{
		KeeperConfig: config, id: session.Identity{Instance: config.Self.Name, Incarnation: config.Self.Incarnation},
		inbox: task.NewMailbox[any]("keeper", keeperCapacity), ended: make(chan struct{}),
		specs: map[keeper.Key]shardSpec{}, shards: map[keeper.Key]*keeper.Shard{}, tables: newTables(),
		prober: keeper.NewProber(time.Now(), config.ProbesPerSecond, config.ProbeEvery), probes: map[keeper.ProbeTarget]*probePool{},
	}
	k.pendingCalls.inbox = k.inbox
	k.owners.Store(&map[keeper.Key]string{})
	return k
}

// Owners returns the instance that keeps each shard, as far as it is known. The map must not be modified.
func (k *Keeper) Owners() map[keeper.Key]string { return *k.owners.Load() }

// Lease handles a Lease message of a peer or of this instance's holder task.
func (k *Keeper) Lease(ctx context.Context, in *peerpb.LeaseRequest) (*peerpb.LeaseReply, error) {
	result, err := askUntil(ctx, k.ended, k.inbox, func(reply chan<- keeperLeaseResult) any { return keeperLeaseRequest{in: in, reply: reply} })
	if err != nil {
		return nil, err
	}
	return result.out, result.err
}

// Leave stops all granting at once and returns once the object API shows the shards as released.
func (k *Keeper) Leave(ctx context.Context) error {
	_, err := task.Ask(ctx, k.inbox, func(reply chan<- struct{}) any { return leaveShardsRequest{reply: reply} })
	return err
}

// Run is the task's main loop. It returns after the context and all calls and probes have ended.
func (k *Keeper) Run(ctx context.Context) error {
	defer close(k.ended)
	k.watchTables(ctx)
	ticker := time.NewTicker(keeperInterval)
	defer ticker.Stop()
	done, running := ctx.Done(), true
	for running || k.inFlight > 0 {
		select {
		case m := <-k.inbox.C():
			k.handle(ctx, time.Now(), m)
		case <-ticker.C:
			if running {
				k.runDue(ctx, time.Now())
			}
		case <-done:
			done, running = nil, false
			k.stopProbePools()
		}
	}
	return nil
}

func (k *Keeper) handle(ctx context.Context, now time.Time, m any) {
	switch m := m.(type) {
	case callResult:
		k.handle(ctx, now, k.done(m))
	case keeperLeaseRequest:
		out, err := k.lease(now, m.in)
		m.reply <- keeperLeaseResult{out: out, err: err}
	case leaveShardsRequest:
		k.leaveReplies = append(k.leaveReplies, m.reply)
		k.handOver(now)
	case tablesUpdate:
		k.applyTables(now, m)
	case tableWrite:
		k.handleTableWrite(ctx, now, m)
	case tableReadResult:
		k.handleTableRead(ctx, now, m)
	case probeUpdate:
		k.applyProbe(now, m)
	}
}

// runDue does the periodic work.
func (k *Keeper) runDue(ctx context.Context, now time.Time) {
	k.syncDocuments(now)
	k.dropExpired()
	k.claimShards(ctx, now)
	k.probe(ctx, now)
	k.Sessions.SetOwners(k.tables.owners())
}

// syncDocuments applies the servers of changed documents.
func (k *Keeper) syncDocuments(now time.Time) {
	docs := k.Docs()
	if docs == nil || docs == k.docs {
		return
	}
	k.docs = docs
	k.specs = shardSpecs(docs, k.Self.Region)
	for key, shard := range k.shards {
		spec, ok := k.specs[key]
		if !ok {
			delete(k.shards, key) // its table entry stays, so that the epoch continues if the shard returns
			continue
		}
		shard.SetServers(now, spec.servers)
	}
}

// shardSpecs returns the shards of a region.
func shardSpecs(docs *Documents, region string) map[keeper.Key]shardSpec {
	specs := map[keeper.Key]shardSpec{}
	for name, doc := range docs.Services {
		for _, server := range docs.servers(doc) {
			if docs.Fleet.RegionOf(server.Zone) != region {
				continue
			}
			key := keeper.Key{Service: name, Zone: server.Zone}
			spec := specs[key]
			spec.doc = doc
			spec.servers = append(spec.servers, keeper.Server{
				Name: server.Name, Address: server.Address, Slots: doc.SlotsOf(server), ColdAllowance: doc.Servers.ColdAllowance,
			})
			specs[key] = spec
		}
	}
	return specs
}

// dropExpired drops the shards that were claimed in a session that has ended.
func (k *Keeper) dropExpired() {
	generation := k.Sessions.Authority().Generation
	for key, shard := range k.shards {
		if shard.Entry().Generation != generation {
			delete(k.shards, key)
		}
	}
}

// startShard starts to keep a shard that was claimed. warm holds the servers that the previous keeper handed over as
// warm.
func (k *Keeper) startShard(now time.Time, key keeper.Key, entry keeper.Entry, warm []keeper.WarmServer) {
	spec, ok := k.specs[key]
	if !ok {
		return
	}
	ch, err := charts.Load("lease", charts.Params{"lease_term": keeper.GracePeriod, "warm_up_step": spec.doc.Servers.WarmUpStep})
	if err != nil {
		k.Log.Error("shard cannot be kept", "shard", key.String(), "error", err)
		return
	}
	bound, err := keeper.Bind(ch)
	if err != nil {
		k.Log.Error("shard cannot be kept", "shard", key.String(), "error", err)
		return
	}
	if k.OnShardTaken != nil {
		k.OnShardTaken(key, entry.Epoch)
	}
	k.Log.Info("keeping a shard", "shard", key.String(), "epoch", entry.Epoch, "handed_over", len(warm))
	k.shards[key] = keeper.NewShard(bound, now, key, entry, spec.servers, warm)
}

// lease answers one lease request.
func (k *Keeper) lease(now time.Time, in *peerpb.LeaseRequest) (*peerpb.LeaseReply, error) {
	key, req, err := decodeLeaseRequest(in)
	if err != nil {
		return nil, err
	}
	shard, ok := k.shards[key]
	if !ok {
		return k.notKeeper(key), nil
	}
	reply, err := shard.HandleRequest(now, k.Sessions.Authority(), req)
	if fault.Is(err, fault.Stopping) {
		return k.notKeeper(key), nil
	}
	if err != nil {
		return nil, err
	}
	return encodeLeaseReply(reply), nil
}

func (k *Keeper) notKeeper(key keeper.Key) *peerpb.LeaseReply {
	owner := k.Owners()[key]
	if owner == k.id.Instance {
		owner = ""
	}
	return &peerpb.LeaseReply{NotKeeper: true, Keeper: owner}
}

// handOver stops all granting and collects the warm servers for the next keepers.
func (k *Keeper) handOver(now time.Time) {
	if k.leaving {
		return
	}
	k.leaving = true
	k.warm = map[string]map[string][]keeper.WarmServer{}
	for key, shard := range k.shards {
		if k.warm[key.Zone] == nil {
			k.warm[key.Zone] = map[string][]keeper.WarmServer{}
		}
		k.warm[key.Zone][key.Service] = shard.Close(now)
	}
}
