package gateway

import (
	"context"
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/news"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

const (
	// firstAsk is how long a starting instance waits for the peers that its settings name: several round trips between
	// regions. When the whole system starts for the first time, these peers are starting as well, and nobody is served
	// yet.
	firstAsk     = 120 * time.Millisecond
	firstAskBoot = time.Second
	// peerPause is how long a peer that did not answer is not asked; startPause is the same while this instance starts
	// and the peers that its settings name may be starting as well.
	peerPause  = 2 * time.Second
	startPause = 60 * time.Millisecond
	// checkGap is the pause between two questions to a peer that should read instead of this instance.
	checkGap = 500 * time.Millisecond
	// mostNewsBytes bounds one answer to a peer; kinds that do not fit follow in the next one.
	mostNewsBytes = 900 << 10
	// lostAsked is how many peers are asked at a time while the store does not answer this instance.
	lostAsked = 2
	// tick is the longest pause between two looks at the age of the news.
	tick = 100 * time.Millisecond
)

// Messages about news to the board.
type (
	// newsWanted is a question of a peer.
	newsWanted struct {
		request *peerpb.NewsRequest
		reply   chan<- *peerpb.NewsReply
	}
	// newsGiven is the answer of a peer, or its failure.
	newsGiven struct {
		address string
		asked   time.Time
		// suspended is how long the machine had been suspended when the question was asked.
		suspended time.Duration
		known     map[objectapi.Kind]uint64
		reply     *peerpb.NewsReply
		err       error
	}
)

// heldQuestion is a question of a peer that waits for something new.
type heldQuestion struct {
	newsWanted
	began, until time.Time
}

// reader is the part of the board that decides where news come from. It is the context of charts/news.toml.
type reader struct {
	board  *board
	self   fleet.Instance
	pace   news.Pace
	client *peer.Client
	sender *peerpb.Sender
	seeds  []string
	// wait is how long the seeds are waited for.
	wait time.Duration
	// isSeed is true when other instances ask this one at their start, so that it must not wait for them.
	isSeed  bool
	feeds   map[objectapi.Kind]*feed
	machine *chart.Machine[*reader]

	started  time.Time
	standing news.Standing
	// asking holds the peers that were asked and have not answered; askedAt when each was asked last.
	asking  map[string]bool
	askedAt map[string]time.Time
	// failing holds until when a peer that did not answer is not asked.
	failing map[string]time.Time
	held    []heldQuestion
}

func newReader(b *board, self fleet.Instance, settings *Settings, client *peer.Client) (*reader, error) {
	ch, err := charts.Load("news", nil)
	if err != nil {
		return nil, err
	}
	bound, err := chart.Bind(ch, chart.Bindings[*reader]{
		Actions: map[string]func(*reader){
			"ask_peers":     func(r *reader) { r.started = time.Now() },
			"start_reading": func(r *reader) { r.assign(true) },
			"stop_reading":  func(r *reader) { r.assign(false) },
		},
		Observe: func(r *reader, from, event, to string) {
			r.board.log.Info("source of news changed", "from", from, "event", event, "to", to, "rank", r.standing.Rank, "age_ms", r.age(time.Now()).Milliseconds())
		},
	})
	if err != nil {
		return nil, err
	}
	r := &reader{
		board: b, self: self, pace: news.NewPace(settings.Bounds.Drain), client: client, wait: firstAsk,
		seeds:  slices.DeleteFunc(slices.Clone(settings.Seeds), func(a string) bool { return a == self.Address }),
		isSeed: slices.Contains(settings.Seeds, self.Address), feeds: map[objectapi.Kind]*feed{}, asking: map[string]bool{}, askedAt: map[string]time.Time{}, failing: map[string]time.Time{},
		sender: &peerpb.Sender{
			Instance: self.Name, Incarnation: self.Incarnation, Region: self.Place.Region, Zone: self.Place.Zone, Protocol: peer.ProtocolVersion,
		},
	}
	if settings.FirstStart {
		r.wait = firstAskBoot
	}
	r.reorder()
	r.machine = bound.New(time.Now(), r)
	return r, nil
}

func (r *reader) assign(active bool) {
	for kind, f := range r.feeds {
		f.give(assignment{active: active, revision: r.board.archive.shelf(kind).revision})
	}
}

func (r *reader) fire(event string) {
	if err := r.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

// age returns the age of the news of backend servers, which change most often.
func (r *reader) age(now time.Time) time.Duration {
	asOf := r.board.asOf[objectapi.Backends]
	if asOf.IsZero() {
		return now.Sub(r.started) + r.pace.Most
	}
	return now.Sub(asOf)
}

// reorder takes a new list of instances.
func (r *reader) reorder() {
	instances := make([]fleet.Instance, 0, len(r.board.instances))
	for _, i := range r.board.instances {
		instances = append(instances, i)
	}
	r.standing = news.NewStanding(instances, r.self)
}

// look decides by the age of the news where they should come from.
func (r *reader) look(ctx context.Context, now time.Time) {
	switch age := r.age(now); {
	case r.board.asOf[objectapi.Backends].IsZero():
		if len(r.seeds) == 0 || r.isSeed || now.Sub(r.started) >= r.wait {
			r.fire("stale")
		}
	case age > r.pace.LimitOf(r.standing.Rank):
		r.fire("stale")
	}
	for _, address := range r.targets(now) {
		r.ask(ctx, now, address)
	}
	r.answerDue(now)
}

// targets returns the peers to ask now.
func (r *reader) targets(now time.Time) []string {
	switch {
	case r.machine.In("asking"):
		return r.idle(now, r.seeds, len(r.seeds), 0)
	case r.machine.In("reading") && r.board.lost():
		return r.idle(now, r.everyone(), lostAsked, checkGap)
	case r.machine.In("reading"):
		return r.idle(now, addresses(r.standing.Before), 1, checkGap)
	}
	before := addresses(r.standing.Before)
	if len(before) == 0 {
		before = r.everyone()
	}
	if len(before) == 0 {
		before = r.seeds // the first news may be older than the entries of all others
	}
	count := 1
	if r.age(now) > r.pace.AskNext {
		count = 2
	}
	return r.idle(now, before, count, 0)
}

// everyone returns the addresses of all peers, those of the own region first.
func (r *reader) everyone() []string {
	var near, far []string
	for _, i := range r.board.instances {
		switch {
		case i.Name == r.self.Name:
		case i.Place.Region == r.self.Place.Region:
			near = append(near, i.Address)
		default:
			far = append(far, i.Address)
		}
	}
	return append(near, far...)
}

func addresses(instances []fleet.Instance) []string {
	list := make([]string, 0, len(instances))
	for _, i := range instances {
		list = append(list, i.Address)
	}
	return list
}

// idle returns the first peers of a list that answer, at most count, without those that are asked at the moment.
func (r *reader) idle(now time.Time, list []string, count int, gap time.Duration) []string {
	var chosen []string
	for _, address := range list {
		if count == 0 {
			break
		}
		if now.Before(r.failing[address]) {
			continue
		}
		count--
		if !r.asking[address] && now.Sub(r.askedAt[address]) >= gap {
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// ask asks a peer for news. The answer comes as a message.
func (r *reader) ask(ctx context.Context, now time.Time, address string) {
	request := &peerpb.NewsRequest{Sender: r.sender, WaitMs: uint32((r.pace.Period + checkGap/2).Milliseconds()), Packed: true}
	known := map[objectapi.Kind]uint64{}
	for _, kind := range followed {
		known[kind] = r.board.archive.shelf(kind).revision
		request.Known = append(request.Known, &peerpb.KnownKind{Kind: string(kind), Revision: known[kind]})
	}
	r.asking[address], r.askedAt[address] = true, now
	inbox, client, suspended := r.board.inbox, r.client, r.board.knownSuspended
	go func() {
		reply, err := client.News(ctx, address, request)
		_ = inbox.Send(ctx, newsGiven{address: address, asked: now, suspended: suspended, known: known, reply: reply, err: err}) // only the end stops it
	}()
}

// given takes the answer of a peer.
func (r *reader) given(now time.Time, m newsGiven) {
	delete(r.asking, m.address)
	if m.err != nil {
		if _, known := r.failing[m.address]; !known {
			r.board.log.Warn("peer gives no news", "peer", m.address, "error", m.err)
		}
		r.failing[m.address] = now.Add(peerPause)
		if r.machine.In("asking") {
			r.failing[m.address] = now.Add(startPause)
		}
		return
	}
	if _, was := r.failing[m.address]; was {
		r.board.log.Info("peer gives news again", "peer", m.address)
		delete(r.failing, m.address)
	}
	for _, k := range m.reply.GetKinds() {
		if packed := k.GetPacked(); len(packed) > 0 {
			objects, err := unpack(packed)
			if err != nil {
				r.board.log.Warn("news of a peer are passed over", "peer", m.address, "kind", k.GetKind(), "error", err)
				continue
			}
			k.Objects = objects
		}
		l := m.learned(k)
		r.board.countSuspension(&l)
		r.board.learn(now, l)
		if l.kind == objectapi.Backends {
			r.judge(now, &l)
		}
	}
}

// learned translates the news of one kind. Their age counts from when the question was sent, so that a delay on the way
// makes them older and never newer.
func (m *newsGiven) learned(k *peerpb.KindNews) learned {
	kind := objectapi.Kind(k.GetKind())
	held, age := time.Duration(m.reply.GetHeldMs())*time.Millisecond, time.Duration(k.GetAgeMs())*time.Millisecond
	l := learned{
		kind: kind, whole: k.GetWhole(), base: m.known[kind], revision: k.GetRevision(), asOf: m.asked.Add(held - age), suspended: m.suspended,
		reader: k.GetReader(),
	}
	for _, o := range k.GetObjects() {
		l.events = append(l.events, objectapi.Event{
			Object:  objectapi.Object{Kind: kind, Name: o.GetName(), Version: o.GetVersion(), Value: o.GetValue()},
			Deleted: o.GetDeleted(),
		})
	}
	return l
}

// judge decides whether the news that a peer gave make reading needless. News that this instance read itself and that
// came back do not.
func (r *reader) judge(now time.Time, l *learned) {
	if now.Sub(l.asOf) > r.pace.LimitOf(r.standing.Rank) || l.reader == r.self.Name {
		return
	}
	if r.board.lost() || r.standing.YieldsTo(l.reader) {
		r.fire("outranked")
		return
	}
	r.fire("informed")
}

// wanted takes the question of a peer.
func (r *reader) wanted(now time.Time, m newsWanted) {
	q := heldQuestion{newsWanted: m, began: now, until: now.Add(time.Duration(m.request.GetWaitMs()) * time.Millisecond)}
	if r.hasNews(&q) || !now.Before(q.until) {
		r.answer(now, &q)
		return
	}
	r.held = append(r.held, q)
}

// hasNews reports whether there are changes that the peer does not know, or the store was read since it asked.
func (r *reader) hasNews(q *heldQuestion) bool {
	if r.board.asOf[objectapi.Backends].After(q.began) {
		return true
	}
	for _, k := range q.request.GetKnown() {
		s := r.board.archive.shelf(objectapi.Kind(k.GetKind()))
		if s.revision == 0 || s.revision <= k.GetRevision() {
			continue
		}
		if events, whole := s.after(k.GetRevision()); whole || len(events) > 0 {
			return true
		}
	}
	return false
}

// answerDue answers the questions that have waited long enough or for which there is something new.
func (r *reader) answerDue(now time.Time) {
	waiting := r.held[:0]
	for i := range r.held {
		q := r.held[i]
		if now.Before(q.until) && !r.hasNews(&q) {
			waiting = append(waiting, q)
			continue
		}
		r.answer(now, &q)
	}
	r.held = waiting
}

func (r *reader) answer(now time.Time, q *heldQuestion) {
	reply := &peerpb.NewsReply{HeldMs: uint32(now.Sub(q.began).Milliseconds())}
	size := 0
	for _, k := range q.request.GetKnown() {
		kind := objectapi.Kind(k.GetKind())
		s := r.board.archive.shelf(kind)
		if s.revision == 0 || s.revision < k.GetRevision() {
			continue
		}
		out := &peerpb.KindNews{
			Kind: k.GetKind(), Revision: s.revision, Reader: r.board.readBy[kind], AgeMs: uint32(now.Sub(r.board.asOf[kind]).Milliseconds()) + 1,
		}
		size += r.fill(out, s, k.GetRevision(), q.request.GetPacked())
		if size > mostNewsBytes && len(reply.Kinds) > 0 {
			break
		}
		reply.Kinds = append(reply.Kinds, out)
	}
	q.reply <- reply
}

// fill adds what a peer does not know of a kind, and returns its size in bytes.
func (r *reader) fill(out *peerpb.KindNews, s *shelf, known uint64, mayPack bool) int {
	events, whole := s.after(known)
	out.Whole = whole
	size := 0
	for _, e := range events {
		size += len(e.Object.Value) + len(e.Object.Name)
		out.Objects = append(out.Objects, &peerpb.NewsObject{Name: e.Object.Name, Version: e.Object.Version, Value: e.Object.Value, Deleted: e.Deleted})
	}
	if !mayPack || size < leastPacked {
		return size
	}
	if whole {
		known = 0
	}
	packed, err := s.packedNews(known, out.Objects)
	if err != nil {
		r.board.log.Error("news are not packed", "kind", out.GetKind(), "error", err)
		return size
	}
	out.Objects, out.Packed = nil, packed
	return len(packed)
}
