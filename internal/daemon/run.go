package daemon

import (
	"context"

	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/node"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// Run runs the instance until the context ends, then stops it gracefully. The error names the stages that had not ended
// when the time limit of the stop was reached.
func (d *Daemon) Run(ctx context.Context) error {
	group := task.NewGroup(context.WithoutCancel(ctx))
	d.startTasks(group)
	stopped := make(chan error, 1)
	group.Go("lifecycle", func(ctx context.Context) error {
		stopped <- d.lifecycle.Run(ctx)
		return nil
	})
	d.log.Info("instance started", "region", d.self.Region, "zone", d.self.Zone, "callers", d.callers.Addr().String(),
		"peers", d.peers.Addr().String(), "operations", d.operations.Addr().String())
	err := d.await(ctx, group, stopped)
	d.endClaims()
	group.Stop()
	d.httpServers.close()
	if taskErr := group.Wait(); err == nil {
		err = taskErr
	}
	d.log.Info("instance stopped", "error", err)
	return err
}

// await returns when the graceful stop that follows the end of the context is complete, or when a task fails.
func (d *Daemon) await(ctx context.Context, group *task.Group, stopped <-chan error) error {
	select {
	case <-ctx.Done():
		d.lifecycle.Stop()
	case <-group.Context().Done():
		return nil
	case err := <-stopped:
		return err
	}
	select {
	case err := <-stopped:
		return err
	case <-group.Context().Done():
		return nil
	}
}

// startTasks starts the tasks of the instance. The claims tasks have a separate context, because they must outlive the
// requests whose settlements they deliver.
func (d *Daemon) startTasks(group *task.Group) {
	claims, endClaims := context.WithCancel(context.WithoutCancel(group.Context()))
	d.endClaims, d.claimsEnded = endClaims, make(chan struct{})
	group.Go("claims", func(context.Context) error {
		defer close(d.claimsEnded)
		return d.claims.Run(claims)
	})
	group.Go("peer client", d.peerClient.Run)
	group.Go("peer server", func(ctx context.Context) error { return d.peerServer.Run(ctx, d.peers) })
	group.Go("gossip", d.gossip.Run)
	group.Go("directory", d.directory.Run)
	group.Go("configuration", d.config.Run)
	group.Go("session", d.session.Run)
	group.Go("keeper", d.keeper.Run)
	group.Go("holder", d.holder.Run)
	group.Go("quarantine", d.quarantine.Run)
	group.Go("relay", d.relay.Run)
	group.Go("audit", d.audit.Run)
	group.Go("callers", d.httpServers.serveCallers)
	group.Go("operations", d.httpServers.serveOperations)
	if d.registrar != nil {
		group.Go("registrar", d.registrar.Run)
	}
}

// stages returns the steps of a graceful stop, which run after the platform's load balancer has had time to notice that the
// instance is not ready. Requests end first, because they need leases and claims. The peer server ends last, because
// other instances still request settlements and documents.
func (d *Daemon) stages() []node.Stage {
	return []node.Stage{
		{Name: "requests of callers", Run: func(ctx context.Context) error { return d.httpServers.drain(ctx) }},
		{Name: "once-only claims", Run: d.drainClaims},
		{Name: "slot leases", Run: func(ctx context.Context) error { return d.holder.Leave(ctx) }},
		{Name: "shards", Run: func(ctx context.Context) error { return d.keeper.Leave(ctx) }},
		{Name: "session", Run: func(ctx context.Context) error { return d.session.Leave(ctx) }},
		{Name: "membership", Run: func(ctx context.Context) error { return d.gossip.Leave(ctx) }},
		{Name: "list of instances", Run: d.unregister},
		{Name: "messages of peers", Run: func(ctx context.Context) error { return d.peerServer.Drain(ctx) }},
	}
}

// drainClaims stops the claims tasks and waits until they have delivered their settlements.
func (d *Daemon) drainClaims(ctx context.Context) error {
	d.endClaims()
	select {
	case <-d.claimsEnded:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *Daemon) unregister(ctx context.Context) error {
	if d.registrar == nil {
		return nil
	}
	return d.registrar.Remove(ctx)
}

func (d *Daemon) buildRegistrar() error {
	var err error
	d.registrar, err = node.NewRegistrar(d.api, document.Instance{
		Name: d.self.Name, Region: d.self.Region, Zone: d.self.Zone, PeerAddress: d.self.PeerAddress,
		OperationsAddress: d.operations.Addr().String(), Incarnation: d.self.Incarnation,
	}, d.log)
	return err
}
