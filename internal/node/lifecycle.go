package node

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// lifecycleCapacity bounds the messages that wait at the lifecycle task; senders block.
const lifecycleCapacity = 16

// Stage is one step of a graceful stop. It returns when the step is done or the context ends; the error then says
// what is still open.
type Stage struct {
	Name string
	Run  func(ctx context.Context) error
}

// LifecycleOptions are what the lifecycle task needs.
type LifecycleOptions struct {
	// Zone is the availability zone of this instance.
	Zone string
	// Announce is the time between the end of readiness and the end of new work. Zero skips it.
	Announce time.Duration
	// Limit bounds a graceful stop, Announce included.
	Limit time.Duration
	// Stages run in order when the instance drains.
	Stages []Stage
	// Tell gets the state for the fleet: SetState of Gossip.
	Tell func(member.State)
	Log  *slog.Logger
}

// LifecycleStatus is what operators and the platform's balancer see of the instance. It is immutable.
type LifecycleStatus struct {
	// State is the state of charts/instance.toml, and Zone that of charts/zone.toml for the own zone.
	State string `json:"state"`
	Zone  string `json:"zone"`
	// Ready is whether the platform's balancer should send requests.
	Ready bool `json:"ready"`
	// Reason says in a sentence why the instance is or is not ready.
	Reason string `json:"reason"`
}

// Lifecycle is the task that starts and stops an instance. It is the context of charts/instance.toml.
type Lifecycle struct {
	o       LifecycleOptions
	inbox   *task.Mailbox[any]
	ended   chan struct{}
	status  atomic.Pointer[LifecycleStatus]
	machine *chart.Machine[*Lifecycle]
	zone    *chart.Machine[*Lifecycle]

	endStages context.CancelFunc
	// open holds the names of the stages that have not ended.
	open []string
	err  error
}

// Messages to the lifecycle task.
type (
	lifecycleEvent struct{ event string }
	fleetChanged   struct{ doc *document.Fleet }
	stageEnded     struct{ err error }
)

// NewLifecycle returns the lifecycle task. Run starts it.
func NewLifecycle(o LifecycleOptions) (*Lifecycle, error) {
	if o.Announce < 0 || o.Announce >= o.Limit {
		return nil, fault.New(fault.Invalid, "set drain.limit above drain.announce", "drain.announce is %v and drain.limit is %v", o.Announce, o.Limit)
	}
	l := &Lifecycle{
		o: o, inbox: task.NewMailbox[any]("lifecycle", lifecycleCapacity), ended: make(chan struct{}),
		endStages: func() {},
	}
	for _, s := range o.Stages {
		l.open = append(l.open, s.Name)
	}
	if err := l.bind(); err != nil {
		return nil, err
	}
	l.publish()
	return l, nil
}

// bind starts the machines of the instance and of its zone.
func (l *Lifecycle) bind() error {
	ch, err := charts.Load("instance", charts.Params{"announce_time": l.o.Announce, "drain_time": l.o.Limit - l.o.Announce})
	if err != nil {
		return err
	}
	bound, err := chart.Bind(ch, chart.Bindings[*Lifecycle]{Actions: map[string]func(*Lifecycle){
		"report_serving":         func(l *Lifecycle) { l.o.Tell(member.Serving) },
		"report_draining":        func(l *Lifecycle) { l.o.Tell(member.Draining) },
		"start_stages":           (*Lifecycle).startStages,
		"cancel_stages":          func(l *Lifecycle) { l.endStages() },
		"report_unfinished_work": (*Lifecycle).reportOpen,
	}})
	if err != nil {
		return err
	}
	zoneChart, err := charts.Load("zone", nil)
	if err != nil {
		return err
	}
	zone, err := chart.Bind(zoneChart, chart.Bindings[*Lifecycle]{})
	if err != nil {
		return err
	}
	l.machine, l.zone = bound.New(time.Now(), l), zone.New(time.Now(), l)
	return nil
}

// Status returns what operators see of the instance.
func (l *Lifecycle) Status() *LifecycleStatus { return l.status.Load() }

// Configured tells that a complete configuration is in force.
func (l *Lifecycle) Configured() { l.send(lifecycleEvent{event: "configured"}) }

// Stop starts a graceful stop. Run returns when it has ended.
func (l *Lifecycle) Stop() { l.send(lifecycleEvent{event: "stop"}) }

// Fleet takes the fleet document in force.
func (l *Lifecycle) Fleet(doc *document.Fleet) { l.send(fleetChanged{doc: doc}) }

func (l *Lifecycle) send(m any) { l.inbox.SendUntil(l.ended, m) }

// Run is the body of the lifecycle task. It ends after a graceful stop, with an error that names what was still open
// when the limit was reached, or with the context.
func (l *Lifecycle) Run(ctx context.Context) error {
	defer close(l.ended)
	defer func() { l.endStages() }()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !l.machine.Final() {
		l.arm(timer)
		select {
		case m := <-l.inbox.C():
			l.handle(m)
		case <-timer.C:
			l.machine.Tick(time.Now())
			l.zone.Tick(time.Now())
		case <-ctx.Done():
			return nil
		}
		l.publish()
	}
	return l.err
}

// arm sets the timer to the next timeout of a machine.
func (l *Lifecycle) arm(timer *time.Timer) {
	wait := time.Hour
	for _, m := range []*chart.Machine[*Lifecycle]{l.machine, l.zone} {
		if due, ok := m.Deadline(); ok {
			wait = min(wait, time.Until(due))
		}
	}
	timer.Reset(wait)
}

func (l *Lifecycle) handle(m any) {
	switch m := m.(type) {
	case lifecycleEvent:
		l.fire(l.machine, m.event)
	case fleetChanged:
		if m.doc.IsOut(l.o.Zone) {
			l.fire(l.zone, "take_out")
		} else {
			l.fire(l.zone, "bring_in")
		}
	case stageEnded:
		l.stageEnded(m)
	}
}

func (l *Lifecycle) fire(m *chart.Machine[*Lifecycle], event string) {
	if err := m.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

// startStages runs the stages one after the other beside the task.
func (l *Lifecycle) startStages() {
	ctx, cancel := context.WithCancel(context.Background())
	l.endStages = cancel
	go func() {
		for _, s := range l.o.Stages {
			l.send(stageEnded{err: s.Run(ctx)})
		}
	}()
	if len(l.o.Stages) == 0 {
		go l.send(lifecycleEvent{event: "finished"})
	}
}

func (l *Lifecycle) stageEnded(m stageEnded) {
	if m.err != nil {
		l.o.Log.Warn("stage of the stop left something open", "stage", l.open[0], "error", m.err)
	}
	l.open = l.open[1:]
	if len(l.open) == 0 {
		l.fire(l.machine, "finished")
	}
}

func (l *Lifecycle) reportOpen() {
	l.err = fault.New(fault.DeadlineExceeded, "raise drain.limit, or find out what keeps the work from ending",
		"the stop reached its limit of %v; still open: %s", l.o.Limit, strings.Join(l.open, ", "))
}

// reasons of states that are not ready, and of the one that is.
var lifecycleReasons = map[string]string{
	"starting":   "no complete configuration is in force yet",
	"serving":    "the instance takes requests",
	"announcing": "the instance is stopping",
	"draining":   "the instance is stopping",
	"stopped":    "the instance has stopped",
}

func (l *Lifecycle) publish() {
	s := &LifecycleStatus{State: l.machine.State(), Zone: l.zone.State()}
	out := l.zone.In("leaving") || l.zone.In("out")
	s.Ready = l.machine.In("serving") && !out
	s.Reason = lifecycleReasons[s.State]
	if l.machine.In("serving") && out {
		s.Reason = "operators have taken availability zone " + l.o.Zone + " out"
	}
	l.status.Store(s)
}
