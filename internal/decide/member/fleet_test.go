package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
)

// fleet passes messages between tables without delay, one round after the other.
type fleet struct {
	t           testing.TB
	now         time.Time
	rnd         *rand.Rand
	tables      []*member.Table
	byName      map[string]int
	isDropped   func(from, to int) bool
	onSend      func(from int, m member.Message)
	noticeCount []int
}

func newFleet(t testing.TB, seed uint64, size, regions int) *fleet {
	f := &fleet{
		t: t, now: time.Unix(1_700_000_000, 0), rnd: rand.New(rand.NewPCG(seed, 1)), byName: map[string]int{},
		isDropped: func(int, int) bool { return false }, onSend: func(int, member.Message) {}, noticeCount: make([]int, size),
	}
	for i := range size {
		f.tables = append(f.tables, nil)
		f.byName[instance(i, regions).Name] = i
		f.start(i, regions)
	}
	return f
}

func instance(i, regions int) member.Instance {
	return member.Instance{
		Name: fmt.Sprintf("entry-%03d", i), Region: fmt.Sprintf("region-%d", i%regions),
		Zone: fmt.Sprintf("region-%d-a", i%regions), PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
	}
}

// start replaces an instance by a new process with the same name, which finds the others in the platform's list.
func (f *fleet) start(i, regions int) {
	ch, err := charts.Load("peer", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	self := instance(i, regions)
	self.Incarnation = member.NewIncarnation(f.now)
	table, err := member.New(ch, self, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	var listed []member.Instance
	for name := range f.byName {
		listed = append(listed, instance(f.byName[name], regions))
	}
	table.SetListed(f.now, listed)
	table.SetState(member.Serving)
	table.SetConfig(member.ConfigVersion{Digest: 7, Fleet: 3})
	f.tables[i] = table
}

// runRounds runs gossip rounds of all running instances, at a different time within the round for each of them.
func (f *fleet) runRounds(n int, visit func()) {
	for range n {
		for _, i := range f.rnd.Perm(len(f.tables)) {
			f.now = f.now.Add(member.RoundInterval / time.Duration(len(f.tables)))
			f.runRound(i)
		}
		visit()
	}
}

func (f *fleet) runRound(i int) {
	if f.tables[i] == nil {
		return
	}
	for _, name := range f.tables[i].StartRound(f.now, f.rnd) {
		f.exchange(i, f.byName[name])
	}
}

func (f *fleet) exchange(from, to int) {
	if f.isDropped(from, to) || f.tables[to] == nil {
		return
	}
	request := f.tables[from].Request(f.now)
	f.receive(to, from, request)
	f.receive(from, to, f.tables[to].Reply(f.now, request))
}

func (f *fleet) receive(at, from int, m member.Message) {
	f.onSend(from, m)
	received, err := f.tables[at].Receive(f.now, m)
	if err != nil {
		f.t.Fatalf("message of %s refused: %v", m.From.Name, err)
	}
	f.noticeCount[at] += len(received.Notices)
}

// condition returns the state of charts/peer.toml that one instance has for another.
func (f *fleet) condition(at, of int) string {
	for _, m := range f.tables[at].View().Members {
		if f.byName[m.Name] == of {
			return m.Condition
		}
	}
	return "unknown"
}

// liveCount returns how many other running instances count the given one as live.
func (f *fleet) liveCount(of int) int {
	n := 0
	for i, table := range f.tables {
		if table == nil || i == of {
			continue
		}
		for _, live := range table.View().Live {
			if f.byName[live.Name] == of {
				n++
			}
		}
	}
	return n
}
