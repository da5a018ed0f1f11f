package node_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/keeper"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/node"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// serviceWithShortage always needs a slot and is never granted one. The test sends its signals.
type serviceWithShortage struct {
	shortage chan struct{}
}

func (s *serviceWithShortage) Demand(context.Context, string) (balance.Demand, error) {
	return balance.Demand{Want: 1}, nil
}

func (s *serviceWithShortage) Lease(context.Context, balance.ShardLease) error { return nil }
func (s *serviceWithShortage) Notice(context.Context, balance.Notice) error    { return nil }
func (s *serviceWithShortage) Shortage() <-chan struct{}                       { return s.shortage }

// Guards against signals of a service that keep the holder from sending lease requests, and against one lease request
// per signal.
func TestShortageSignalsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &serviceWithShortage{shortage: make(chan struct{})}
		doc := &document.Service{Name: "s0"}
		doc.Servers.List = []document.Server{{Name: "w1", Address: "10.0.0.1:80", Zone: "permian-a"}}
		doc.ApplyDefaults()
		docs := &node.Documents{
			Services: map[string]*document.Service{"s0": doc},
			Fleet:    &document.Fleet{Regions: []document.Region{{Name: "permian", Zones: []string{"permian-a"}}}},
		}
		self := member.Instance{Name: "i0", Incarnation: 1, Region: "permian"}
		requests := 0
		holder := node.NewHolder(node.HolderConfig{
			Self: self, Log: slog.New(slog.DiscardHandler), Docs: func() *node.Documents { return docs },
			View:    func() *member.View { return &member.View{Self: self, Live: []member.Instance{self}} },
			Owners:  func() map[keeper.Key]string { return map[keeper.Key]string{{Service: "s0", Zone: "permian-a"}: "i0"} },
			Service: func(string) (node.LeasedService, bool) { return service, true },
			LocalKeeper: func(context.Context, *peerpb.LeaseRequest) (*peerpb.LeaseReply, error) {
				requests++
				return &peerpb.LeaseReply{Epoch: 1, TermMs: 2000}, nil
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- holder.Run(ctx) }()
		for range 10_000 {
			service.shortage <- struct{}{}
			time.Sleep(time.Millisecond)
		}
		cancel()
		<-ended
		maxRequests := int(10*time.Second/keeper.MinExchangeInterval) + 1
		if requests > maxRequests || requests < maxRequests/2 {
			t.Errorf("%d lease requests in 10 s, want about one per %v", requests, keeper.MinExchangeInterval)
		}
	})
}
