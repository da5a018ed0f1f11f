package node

import (
	"context"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
)

type pool struct {
	*backend.Pool
	address string
	size    backend.PoolSize
	stop    context.CancelFunc
}

// syncPools starts a connection pool for each listed server and stops the pools of the others.
func (s *Service) syncPools(ctx context.Context) {
	listed := map[string]bool{}
	for _, server := range s.config.Servers {
		listed[server.Name] = true
		if known, ok := s.pools[server.Name]; ok && known.address == server.Address {
			continue
		} else if ok {
			known.stop()
		}
		s.startPool(ctx, server.Name, server.Address)
	}
	for name, p := range s.pools {
		if !listed[name] {
			p.stop()
			delete(s.pools, name)
		}
	}
}

func (s *Service) startPool(ctx context.Context, name, address string) {
	size := s.poolSize(balance.ServerAllowance{Server: name})
	p, err := backend.NewPool(address, s.dial, size)
	if err != nil {
		s.log.Error("backend server has no pool", "service", s.name, "server", name, "error", err)
		return
	}
	poolCtx, stop := context.WithCancel(ctx)
	s.pools[name] = &pool{Pool: p, address: address, size: size, stop: stop}
	s.runningPools++
	go func() {
		_ = p.Run(poolCtx) // Run always returns nil
		_ = s.inbox.Send(context.Background(), poolEndEvent{})
	}()
}

// poolSize returns this instance's share of the connections that a server accepts from all instances, and how many
// spare connections are opened in advance: one for each request that may be sent at once. The pool of a server that
// must not get work keeps its open connections and opens no new ones.
func (s *Service) poolSize(capacity balance.ServerAllowance) backend.PoolSize {
	share := max(1, s.config.Service.Servers.Connections/max(1, s.config.Instances))
	return backend.PoolSize{MaxConnections: share, SpareConnections: min(share, capacity.Allowance)}
}

// resizePools adapts the pools to changes of leases, server states and live instances.
func (s *Service) resizePools(ctx context.Context) {
	for _, capacity := range s.fleet.Allowances(time.Now()) {
		p, ok := s.pools[capacity.Server]
		if !ok {
			continue
		}
		if size := s.poolSize(capacity); size != p.size {
			p.size = size
			_ = p.Resize(ctx, size) // fails only when the service stops, which stops the pool as well
		}
	}
}

func (s *Service) stopPools() {
	for _, p := range s.pools {
		p.stop()
	}
}
