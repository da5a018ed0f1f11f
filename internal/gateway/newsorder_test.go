package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// instantPeer answers each request at once with the same news.
type instantPeer struct {
	news  []*peerpb.KindNews
	asked int
	at    time.Time
	// inTurn is the number of requests at one time, stop ends the test when there are too many.
	inTurn int
	stop   func()
}

func (p *instantPeer) News(context.Context, string, *peerpb.NewsRequest) (*peerpb.NewsReply, error) {
	p.asked++
	if now := time.Now(); !now.Equal(p.at) {
		p.at, p.inTurn = now, 0
	}
	if p.inTurn++; p.inTurn > maxTurnsAtOnce {
		p.stop()
	}
	return &peerpb.NewsReply{Kinds: p.news}, nil
}

// Guards against an instance that asks a peer again and again without a pause, since the peer answers at once and its news brings
// nothing new or cannot be applied.
func TestPeerWithoutNewsIsNotAskedAtOnce(t *testing.T) {
	for name, news := range map[string][]*peerpb.KindNews{
		"no kinds":       nil,
		"unknown kind":   {{Kind: "sounds", Revision: 9}},
		"former changes": {{Kind: string(objectapi.Backends), Revision: 9}},
		"the same list":  {{Kind: string(objectapi.Backends), Revision: 9, Whole: true, AgeMs: 5000}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				peer := &instantPeer{news: news, stop: cancel}
				_, b := newTestBoard(t, newFakeStore())
				feeds := b.source.feeds
				var err error
				if b.source, err = newNewsSource(b, fleet.Instance{Name: "edge-2", Place: fleet.Place{Region: "east"}},
					&Settings{Seeds: []string{"peer-1"}}, peer); err != nil {
					t.Fatal(err)
				}
				b.source.feeds = feeds
				b.source.fire("informed") // it follows its peers
				b.instances["edge-1"] = fleet.Instance{Name: "edge-1", Address: "peer-1", Place: fleet.Place{Region: "east"}}
				b.source.updatePosition()
				go func() { _ = b.run(ctx) }() // it ends with the context
				time.Sleep(10 * time.Second)
				synctest.Wait()
				if ctx.Err() != nil || peer.asked > 200 {
					t.Errorf("the peer was asked %d times in 10 s, stopped: %t", peer.asked, ctx.Err() != nil)
				}
			})
		})
	}
}
