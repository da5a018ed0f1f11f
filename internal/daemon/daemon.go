package daemon

import (
	"context"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiahub.example/fuchsiahub/internal/audit"
	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/decide/once"
	"fuchsiahub.example/fuchsiahub/internal/metric"
	"fuchsiahub.example/fuchsiahub/internal/node"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/objecthttp"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/settings"
)

// Daemon holds the listeners, clients and tasks of one instance.
type Daemon struct {
	settings *settings.Daemon
	log      *slog.Logger
	metrics  *metric.Set
	api      objectapi.API
	self     member.Instance

	// callers, peers and operations are the listeners of the instance.
	callers, peers, operations net.Listener

	documentsInForce atomic.Pointer[node.Documents]
	peerClient       *peer.Client
	peerServer       *peer.Server
	gossip           *node.Gossip
	config           *node.Config
	lifecycle        *node.Lifecycle
	registrar        *node.Registrar
	directory        *node.Directory
	session          *node.Session
	keeper           *node.Keeper
	holder           *node.Holder
	claims           *node.Claims
	quarantine       *node.Quarantine
	relay            *node.Relay
	audit            *audit.Writer
	requestServer    *node.Server
	httpServers      *httpServers

	// endClaims stops the claims tasks; claimsEnded is closed once the settlements of the last requests are delivered.
	endClaims   context.CancelFunc
	claimsEnded chan struct{}
}

// maxProbedServers is the number of backend servers for which the probe budget of one instance suffices. At the target
// size of 1,500 backend servers on 60 instances, one instance keeps 25.
const maxProbedServers = 50

// Addresses holds the listen addresses of an instance.
type Addresses struct{ Callers, Peers, Operations string }

// New opens the listeners of an instance and builds its tasks without starting them.
func New(s *settings.Daemon, log *slog.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, log: log.With("instance", s.Instance), metrics: metric.NewSet()}
	d.metrics.AddProcess()
	d.api = objecthttp.New(s.Platform.Address.String(), nil)
	if err := d.listen(); err != nil {
		d.closeListeners()
		return nil, err
	}
	d.self = member.Instance{
		Name: s.Instance, Incarnation: member.NewIncarnation(time.Now()), Region: s.Region, Zone: s.Zone,
		PeerAddress: d.peers.Addr().String(),
	}
	for _, build := range []func() error{
		d.buildPeers, d.buildServices, d.buildKeepers, d.buildRequests, d.buildConfiguration, d.buildPeerServer, d.buildHTTPServers,
	} {
		if err := build(); err != nil {
			d.closeListeners()
			return nil, err
		}
	}
	return d, nil
}

// Addresses returns the actual listen addresses of the instance.
func (d *Daemon) Addresses() Addresses {
	return Addresses{Callers: d.callers.Addr().String(), Peers: d.peers.Addr().String(), Operations: d.operations.Addr().String()}
}

func (d *Daemon) listen() error {
	for _, l := range []struct {
		name, address string
		target        *net.Listener
	}{
		{"caller_address", d.settings.CallerAddress.String(), &d.callers},
		{"peer_address", d.settings.PeerAddress.String(), &d.peers},
		{"operations_address", d.settings.OperationsAddress.String(), &d.operations},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.WithHintf(errors.Wrapf(err, "setting %s", l.name), "end the process that uses %s, or change the setting", l.address)
		}
		*l.target = listener
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.callers, d.peers, d.operations} {
		if l != nil {
			_ = l.Close() // the daemon does not start, so an error has no consequence
		}
	}
}

func (d *Daemon) view() *member.View { return d.gossip.View() }

func (d *Daemon) documents() *node.Documents { return d.documentsInForce.Load() }

func (d *Daemon) location() balance.Location {
	return balance.Location{Region: d.settings.Region, Zone: d.settings.Zone}
}

func (d *Daemon) buildPeers() error {
	tlsConfig, err := d.settings.TLS.Peers.Config()
	if err != nil {
		return err
	}
	if d.peerClient, err = peer.NewClient(d.view, peer.NetDialer, tlsConfig, d.metrics.Registry()); err != nil {
		return err
	}
	d.gossip, err = node.NewGossip(node.GossipOptions{
		Self: d.self, Peers: d.peerClient, API: d.api, Metrics: d.metrics.Registry(), Log: d.log,
		Rand:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		OnNotice:      func(n member.Notice) { d.relay.Notice(n) },
		OnPeerVersion: func(name string, v member.ConfigVersion) { d.config.PeerVersion(name, v) },
	})
	return err
}

func (d *Daemon) buildServices() error {
	var err error
	d.directory = node.NewDirectory(d.location(), backend.NetDialer, d.log).WithMetrics(d.metrics)
	d.relay = node.NewRelay(node.RelayOptions{
		View: d.view, Entries: d.directory.Entries, SendNotice: d.gossip.ReportNotice, OnChange: d.handleStateChange, Log: d.log,
	})
	d.audit, err = audit.NewWriter(d.api, d.self.Name, d.self.Incarnation, d.log)
	return err
}

func (d *Daemon) buildKeepers() error {
	var err error
	if d.session, err = node.NewSession(node.SessionOptions{Self: d.self, API: d.api, Peers: d.peerClient, View: d.view, Log: d.log}); err != nil {
		return err
	}
	d.keeper = node.NewKeeper(node.KeeperConfig{
		Self: d.self, API: d.api, View: d.view, Docs: d.documents, Sessions: d.session, Dial: backend.NetDialer,
		ProbesPerSecond: d.probeBudget(), ProbeEvery: d.probeInterval(), OnShardTaken: d.recordShardTaken, Log: d.log,
	})
	d.holder = node.NewHolder(node.HolderConfig{
		Self: d.self, Peers: d.peerClient, LocalKeeper: d.keeper.Lease, Owners: d.keeper.Owners, View: d.view, Docs: d.documents,
		Service: d.leasedService, Log: d.log,
	})
	return nil
}

func (d *Daemon) leasedService(name string) (node.LeasedService, bool) {
	entry, ok := d.directory.Lookup(name)
	return entry.Task, ok
}

func (d *Daemon) buildRequests() error {
	key := d.settings.Claims.Key
	d.claims = node.NewClaims(d.claimsOptions(key))
	var err error
	d.quarantine, err = node.NewQuarantine(node.QuarantineOptions{
		Secret: key, Self: d.self, Peers: d.peerClient, View: d.view, RegionOf: d.regionOf, Dial: backend.NetDialer,
		OnRefusal: d.recordQuarantine, Log: d.log,
	})
	if err != nil {
		return err
	}
	d.requestServer, err = node.NewServer(d.directory, d.location(), node.WithClaims(d.claims), node.WithQuarantine(d.quarantine),
		node.WithStop(func() time.Time { return d.lifecycle.Status().StopsBy }))
	return err
}

func (d *Daemon) claimsOptions(key []byte) node.ClaimsOptions {
	return node.ClaimsOptions{
		Settings: node.ClaimSettings{
			Key: key, Partitions: d.settings.Claims.Partitions, WritesPerSecond: d.settings.Claims.WritesPerSecond,
		},
		Self:   once.Holder{Instance: d.self.Name, Incarnation: d.self.Incarnation},
		Region: d.self.Region, API: d.api, Peers: d.peerClient, View: d.view, RegionSetCount: d.regionSets, Log: d.log,
	}
}

// regionSets returns the number of distinct sets of allowed regions, or zero before the configuration is in force.
func (d *Daemon) regionSets() int {
	docs := d.documents()
	if docs == nil {
		return 0
	}
	return once.RegionSets(slices.Collect(maps.Values(docs.Services)))
}

// probeBudget returns the number of probes per second that this instance may send. The setting is the rate for one backend
// server.
func (d *Daemon) probeBudget() int {
	return int(math.Ceil(d.settings.Probe.PerSecond * maxProbedServers))
}

// probeInterval returns the interval between two probes of one backend server, or zero when probes are disabled.
func (d *Daemon) probeInterval() time.Duration {
	if d.settings.Probe.PerSecond == 0 {
		return 0
	}
	return time.Duration(min(float64(time.Second)/d.settings.Probe.PerSecond, float64(math.MaxInt64/2)))
}

// regionOf returns the region of an availability zone, or "" when it is not known.
func (d *Daemon) regionOf(zone string) string {
	if docs := d.documents(); docs != nil {
		return docs.Fleet.RegionOf(zone)
	}
	return ""
}

func (d *Daemon) buildConfiguration() error {
	var err error
	if d.lifecycle, err = node.NewLifecycle(node.LifecycleOptions{
		Zone: d.settings.Zone, AnnounceTime: d.settings.Drain.Announce, StopLimit: d.settings.Drain.Limit,
		Stages: d.stages(), PublishState: d.gossip.SetState, Log: d.log,
	}); err != nil {
		return err
	}
	d.config, err = node.NewConfig(node.ConfigOptions{
		API: d.api, Peers: d.peerClient, Sender: d.gossip.Sender, Metrics: d.metrics.Registry(), Log: d.log,
		Apply: d.apply, PublishVersion: d.gossip.SetConfig, ApplyFleet: d.lifecycle.ApplyFleet, OnReady: d.lifecycle.Configured,
	})
	if err != nil || !d.settings.Platform.Register {
		return err
	}
	return d.buildRegistrar()
}

// apply makes documents the configuration in force for all tasks.
func (d *Daemon) apply(ctx context.Context, docs *node.Documents) error {
	d.documentsInForce.Store(docs)
	return d.directory.Apply(ctx, docs)
}

func (d *Daemon) buildPeerServer() error {
	tlsConfig, err := d.settings.TLS.Peers.Config()
	if err != nil {
		return err
	}
	d.peerServer, err = peer.NewServer(peer.Handlers{
		Gossip: d.gossip.Handle, Documents: d.config.Handle, Lease: d.keeper.Lease, Witness: d.session.HandleWitness,
		Claim: d.claims.HandleClaim, Settle: d.claims.HandleSettle, Strike: d.quarantine.HandleStrike,
	}, tlsConfig, d.metrics.Registry(), d.log)
	return err
}
