package node

import (
	"context"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/keeper"
)

// probePool is the connection pool for the probes of one server.
type probePool struct {
	*backend.Pool
	address string
	stop    context.CancelFunc
}

// probeUpdate carries the result of a probe to the keeper task.
type probeUpdate struct {
	key    keeper.Key
	result keeper.ProbeResult
}

// probe sends the probes that are due and keeps one connection to each server of the shards kept here.
func (k *Keeper) probe(ctx context.Context, now time.Time) {
	targets := k.syncProbePools(ctx)
	for _, target := range k.prober.Due(now, targets) {
		pool, path := k.probes[target].Pool, k.specs[target.Key].doc.Servers.ProbePath
		k.start(ctx, backend.ProbeTimeout, func(ctx context.Context) any {
			result := backend.Probe(ctx, pool, target.Key.Service, path)
			if result.InvalidAnswer {
				k.Log.Warn("answer of a backend server to a probe is invalid", "shard", target.Key.String(), "server", target.Server)
			}
			return probeUpdate{key: target.Key, result: probeOf(target.Server, result)}
		})
	}
}

// syncProbePools opens and closes connections and returns the servers that can be probed.
func (k *Keeper) syncProbePools(ctx context.Context) []keeper.ProbeTarget {
	var targets []keeper.ProbeTarget
	wanted := map[keeper.ProbeTarget]string{}
	for key := range k.shards {
		for _, server := range k.specs[key].servers {
			wanted[keeper.ProbeTarget{Key: key, Server: server.Name}] = server.Address
		}
	}
	for target, p := range k.probes {
		if wanted[target] != p.address {
			p.stop()
			delete(k.probes, target)
		}
	}
	for target, address := range wanted {
		if k.probes[target] != nil || k.startProbePool(ctx, target, address) {
			targets = append(targets, target)
		}
	}
	return targets
}

func (k *Keeper) startProbePool(ctx context.Context, target keeper.ProbeTarget, address string) bool {
	pool, err := backend.NewPool(address, k.Dial, backend.PoolSize{MaxConnections: 1})
	if err != nil {
		k.Log.Error("backend server cannot be probed", "shard", target.Key.String(), "server", target.Server, "error", err)
		return false
	}
	poolCtx, stop := context.WithCancel(ctx)
	k.probes[target] = &probePool{Pool: pool, address: address, stop: stop}
	k.inFlight++
	go func() {
		_ = pool.Run(poolCtx) // Run always returns nil
		stop()
		_ = k.inbox.Send(context.Background(), callResult{}) // never fails: the context does not end
	}()
	return true
}

func (k *Keeper) stopProbePools() {
	for _, p := range k.probes {
		p.stop()
	}
}

func (k *Keeper) applyProbe(now time.Time, m probeUpdate) {
	if shard, ok := k.shards[m.key]; ok {
		shard.HandleProbe(now, m.result)
	}
}

// probeOf converts a probe result to the keeper's form. An unknown state counts as not reported.
func probeOf(server string, r backend.ProbeResult) keeper.ProbeResult {
	p := keeper.ProbeResult{
		Server: server, Refused: r.ConnectionRefused, Answered: r.Answered, Incarnation: r.Incarnation, Running: r.Running, Slots: r.Slots, HasState: true,
	}
	switch r.State {
	case "ready":
		p.State = balance.Ready
	case "cold":
		p.State = balance.Cold
	case "draining":
		p.State = balance.Draining
	default:
		p.HasState = false
	}
	return p
}
