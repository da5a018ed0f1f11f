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
	// firstAsk is how long a starting instance waits for an answer of its seeds (the peers named in its settings) before it
	// reads the store itself: several round trips between regions.
	firstAsk = 120 * time.Millisecond
	// firstAskBoot is the same when the whole fleet starts for the first time: the seeds are starting as well, and no
	// requests have to be served yet.
	firstAskBoot = time.Second
	// peerPause is how long a peer that did not answer is not asked again.
	peerPause = 2 * time.Second
	// startPause is the same while this instance starts, since its seeds may be starting as well.
	startPause = 60 * time.Millisecond
	// checkGap is the interval at which an instance that reads the store asks a peer of better rank, which should read
	// instead.
	checkGap = 500 * time.Millisecond
	// mostNewsBytes is the maximum size of one reply to a peer; kinds that do not fit follow in the next reply.
	mostNewsBytes = 900 << 10
	// lostAsked is the number of peers that are asked at a time while the store does not answer this instance.
	lostAsked = 2
	// tick is the interval at which the age of the updates is checked.
	tick = 100 * time.Millisecond
)

// Messages to the board about store updates (news) exchanged with peers.
type (
	// newsWanted is a request of a peer for updates.
	newsWanted struct {
		request *peerpb.NewsRequest
		reply   chan<- *peerpb.NewsReply
	}
	// newsGiven is the reply of a peer, or the error of the call.
	newsGiven struct {
		address string
		// asked is when the request was sent.
		asked time.Time
		// suspended is how long the machine had been suspended in total at that time.
		suspended time.Duration
		// known holds the revisions that were known when the request was sent.
		known map[objectapi.Kind]uint64
		reply *peerpb.NewsReply
		err   error
	}
)

// heldQuestion is a request of a peer that is held until there is an update or its wait is over.
type heldQuestion struct {
	newsWanted
	began, until time.Time
}

// reader is the part of the board that decides whether store updates come from the store itself or from a peer. It is the
// context of charts/news.toml.
type reader struct {
	board  *board
	self   fleet.Instance
	pace   news.Pace
	client *peer.Client
	sender *peerpb.Sender
	// seeds are the addresses of the peers named in the settings.
	seeds []string
	// wait is how long the seeds may take to answer before this instance reads the store.
	wait time.Duration
	// isSeed is true if this instance is a seed of others. It does not wait for other seeds, which may be waiting for it.
	isSeed  bool
	feeds   map[objectapi.Kind]*feed
	machine *chart.Machine[*reader]

	started time.Time
	// standing is the rank of this instance among its peers.
	standing news.Standing
	// asking holds the peers with a request in flight.
	asking map[string]bool
	// askedAt holds when each peer was last asked.
	askedAt map[string]time.Time
	// failing holds, for each peer that did not answer, the time from which it may be asked again.
	failing map[string]time.Time
	// held holds the requests of peers that are not answered yet.
	held []heldQuestion
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

// assign makes all feeds read the store, or stop doing so.
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

// age returns the age of the entries of backend servers, the kind that changes most often.
func (r *reader) age(now time.Time) time.Duration {
	asOf := r.board.asOf[objectapi.Backends]
	if asOf.IsZero() {
		return now.Sub(r.started) + r.pace.Most
	}
	return now.Sub(asOf)
}

// reorder computes the rank of this instance after a change of the list of instances.
func (r *reader) reorder() {
	instances := make([]fleet.Instance, 0, len(r.board.instances))
	for _, i := range r.board.instances {
		instances = append(instances, i)
	}
	r.standing = news.NewStanding(instances, r.self)
}

// look decides by the age of the updates whether to read the store, asks peers that are due and answers held requests.
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

// targets returns the addresses of the peers to ask now.
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
		before = r.seeds // the first update may be older than the entries of all other instances
	}
	count := 1
	if r.age(now) > r.pace.AskNext {
		count = 2
	}
	return r.idle(now, before, count, 0)
}

// everyone returns the addresses of all peers, starting with those of the own region.
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

// idle returns the peers to ask among the first count responsive peers of the list: those without a request in flight that
// were last asked at least gap ago.
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

// ask requests updates from a peer. The reply arrives as a message to the board.
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
		_ = inbox.Send(ctx, newsGiven{address: address, asked: now, suspended: suspended, known: known, reply: reply, err: err}) // fails only at shutdown
	}()
}

// given handles the reply of a peer.
func (r *reader) given(now time.Time, m newsGiven) {
	delete(r.asking, m.address)
	if m.err != nil {
		if _, known := r.failing[m.address]; !known {
			r.board.log.Warn("peer does not answer a request for updates", "peer", m.address, "error", m.err)
		}
		r.failing[m.address] = now.Add(peerPause)
		if r.machine.In("asking") {
			r.failing[m.address] = now.Add(startPause)
		}
		return
	}
	if _, was := r.failing[m.address]; was {
		r.board.log.Info("peer answers requests for updates again", "peer", m.address)
		delete(r.failing, m.address)
	}
	for _, k := range m.reply.GetKinds() {
		if packed := k.GetPacked(); len(packed) > 0 {
			objects, err := unpack(packed)
			if err != nil {
				r.board.log.Warn("update from a peer cannot be decoded and is ignored", "peer", m.address, "kind", k.GetKind(), "error", err)
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

// learned decodes the update of one kind. Its age counts from when the request was sent, so that network delay makes it
// appear older but never newer.
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

// judge decides whether an update from a peer makes reading the store unnecessary. Updates that this instance itself read and
// that came back through a peer do not.
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

// wanted handles a request of a peer: it is answered at once or held until there is an update.
func (r *reader) wanted(now time.Time, m newsWanted) {
	q := heldQuestion{newsWanted: m, began: now, until: now.Add(time.Duration(m.request.GetWaitMs()) * time.Millisecond)}
	if r.hasNews(&q) || !now.Before(q.until) {
		r.answer(now, &q)
		return
	}
	r.held = append(r.held, q)
}

// hasNews reports whether there are changes that the peer does not know, or the store has been read since the peer asked.
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

// answerDue answers the held requests whose wait is over or for which there is an update.
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

// answer sends a peer what it does not know yet.
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

// fill adds the objects of a kind that a peer does not know to its reply, and returns their size in bytes.
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
		r.board.log.Error("update for a peer cannot be compressed and is sent uncompressed", "kind", out.GetKind(), "error", err)
		return size
	}
	out.Objects, out.Packed = nil, packed
	return len(packed)
}
