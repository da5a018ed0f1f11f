package node

import (
	"context"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
)

// ServiceStatus is what operators see of a service at one instance.
type ServiceStatus struct {
	Service string                 `json:"service"`
	Waiting int                    `json:"waiting"`
	Servers []balance.ServerStatus `json:"servers"`
}

// tell sends a message and blocks while the mailbox is full, unless the task has ended.
func (s *Service) tell(m any) error {
	if !s.inbox.SendUntil(s.ended, m) {
		return stopped(s.name)
	}
	return nil
}

// Update brings new documents into force.
func (s *Service) Update(_ context.Context, view balance.View) error {
	return s.tell(update{view: view})
}

// Status returns what operators see of the service.
func (s *Service) Status(ctx context.Context) (ServiceStatus, error) {
	return askUntil(ctx, s.ended, s.inbox, func(reply chan<- ServiceStatus) any { return inspect{reply: reply} })
}

// Lease brings a keeper's grant into force.
func (s *Service) Lease(_ context.Context, l balance.Leased) error {
	return s.tell(lease{leased: l})
}

// Notice passes on what another instance saw of a server.
func (s *Service) Notice(_ context.Context, n balance.Notice) error {
	return s.tell(notice{notice: n})
}

// SetInstances tells how many instances are live, in all and in the own region.
func (s *Service) SetInstances(_ context.Context, live, neighbours int) error {
	return s.tell(instances{live: live, neighbours: neighbours})
}

// Demand returns what the service needs of the keeper of a zone. Idle slots above the reserve are given up by it, so
// the answer must reach the keeper or the lease run out.
func (s *Service) Demand(ctx context.Context, zone string) (balance.Demand, error) {
	return askUntil(ctx, s.ended, s.inbox, func(reply chan<- balance.Demand) any { return demand{zone: zone, reply: reply} })
}

// DueZones returns the zones whose keepers are to be asked now.
func (s *Service) DueZones(ctx context.Context) ([]string, error) {
	return askUntil(ctx, s.ended, s.inbox, func(reply chan<- []string) any { return dueZones{reply: reply} })
}

// changes are what the service's servers and zones went through, and how many more were lost.
type changes struct {
	list []balance.Change
	lost int
}

// Changes returns the changes of state of servers and zones since the last call, and how many more were lost.
func (s *Service) Changes(ctx context.Context) ([]balance.Change, int, error) {
	c, err := askUntil(ctx, s.ended, s.inbox, func(reply chan<- changes) any { return takeChanges{reply: reply} })
	return c.list, c.lost, err
}

// Notices returns what this instance saw of servers since the last call.
func (s *Service) Notices(ctx context.Context) ([]balance.Notice, error) {
	return askUntil(ctx, s.ended, s.inbox, func(reply chan<- []balance.Notice) any { return takeNotices{reply: reply} })
}

// Short has a signal when the keepers are to be asked now rather than at the next interval.
func (s *Service) Short() <-chan struct{} { return s.short }
