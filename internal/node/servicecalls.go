package node

import (
	"context"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
)

// ServiceStatus is the status of a service at one instance, as shown to operators.
type ServiceStatus struct {
	Service string                 `json:"service"`
	Waiting int                    `json:"waiting"`
	Servers []balance.ServerStatus `json:"servers"`
}

// send sends a message to the task. It blocks while the mailbox is full and fails once the task has ended.
func (s *Service) send(m any) error {
	if !s.inbox.SendUntil(s.ended, m) {
		return stoppingError(s.name)
	}
	return nil
}

// Update applies new documents.
func (s *Service) Update(_ context.Context, config balance.FleetConfig) error {
	return s.send(fleetConfigUpdate{config: config})
}

// Status returns the status of the service for operators.
func (s *Service) Status(ctx context.Context) (ServiceStatus, error) {
	return askUntil(ctx, s.ended, s.inbox, func(reply chan<- ServiceStatus) any { return serviceStatusRequest{reply: reply} })
}

// Lease applies the grants of a keeper.
func (s *Service) Lease(_ context.Context, l balance.ShardLease) error {
	return s.send(leaseUpdate{lease: l})
}

// Notice delivers a change that another instance observed on a server.
func (s *Service) Notice(_ context.Context, n balance.Notice) error {
	return s.send(noticeUpdate{notice: n})
}

// SetInstances sets the numbers of live instances: in the fleet and in this instance's region.
func (s *Service) SetInstances(_ context.Context, live, inRegion int) error {
	return s.send(instancesUpdate{live: live, inRegion: inRegion})
}

// Demand returns what the service needs from the keeper of a zone. The service stops using the idle slots above its
// reserve, so the result has to reach the keeper; otherwise those slots stay unused until the lease expires.
func (s *Service) Demand(ctx context.Context, zone string) (balance.Demand, error) {
	return askUntil(ctx, s.ended, s.inbox, func(reply chan<- balance.Demand) any { return demandRequest{zone: zone, reply: reply} })
}

// DueZones returns the zones whose keepers are due for a lease request.
func (s *Service) DueZones(ctx context.Context) ([]string, error) {
	return askUntil(ctx, s.ended, s.inbox, func(reply chan<- []string) any { return dueZonesRequest{reply: reply} })
}

// changes are the state changes of a service's servers and zones, and the number of changes that were dropped.
type changes struct {
	list    []balance.Change
	dropped int
}

// Changes returns the state changes of servers and zones since the last call, and how many more were dropped.
func (s *Service) Changes(ctx context.Context) ([]balance.Change, int, error) {
	c, err := askUntil(ctx, s.ended, s.inbox, func(reply chan<- changes) any { return changesRequest{reply: reply} })
	return c.list, c.dropped, err
}

// Notices returns the changes that this instance observed on servers since the last call.
func (s *Service) Notices(ctx context.Context) ([]balance.Notice, error) {
	return askUntil(ctx, s.ended, s.inbox, func(reply chan<- []balance.Notice) any { return noticesRequest{reply: reply} })
}

// Shortage is signalled when a lease request is due before the next interval.
func (s *Service) Shortage() <-chan struct{} { return s.shortage }
