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

// lifecycleCapacity is the mailbox size of the lifecycle task. Senders block when it is full.
const lifecycleCapacity = 16

// Stage is one step of a graceful stop. Run returns when the step is done or the context ends. Its error describes the
// work that is unfinished.
type Stage struct {
	Name string
	Run  func(ctx context.Context) error
}

// LifecycleOptions are the settings and dependencies of the lifecycle task.
type LifecycleOptions struct {
	// Zone is the availability zone of this instance.
	Zone string
	// AnnounceTime is the time between the end of readiness and the start of draining. Zero skips the announcement.
	AnnounceTime time.Duration
	// StopLimit bounds a graceful stop, including AnnounceTime.
	StopLimit time.Duration
	// Stages run one after the other when the instance drains.
	Stages []Stage
	// PublishState publishes the state of the instance to the fleet: SetState of Gossip.
	PublishState func(member.State)
	Log          *slog.Logger
}

// LifecycleStatus is the status of the instance for operators and the platform's balancer. It is immutable.
type LifecycleStatus struct {
	// State is a state of charts/instance.toml. Zone is the state of this instance's availability zone, of
	// charts/zone.toml.
	State string `json:"state"`
	Zone  string `json:"zone"`
	// Ready reports whether the platform's balancer should send requests to this instance.
	Ready bool `json:"ready"`
	// Reason explains in one sentence why the instance is or is not ready.
	Reason string `json:"reason"`
	// StopsBy is when the process ends at the latest; zero while no stop has begun.
	StopsBy time.Time `json:"-"`
}

// Lifecycle is the task that runs the start and the graceful stop of an instance. It is the context of
// charts/instance.toml.
type Lifecycle struct {
	options     LifecycleOptions
	inbox       *task.Mailbox[any]
	ended       chan struct{}
	status      atomic.Pointer[LifecycleStatus]
	machine     *chart.Machine[*Lifecycle]
	zoneMachine *chart.Machine[*Lifecycle]

	cancelStages context.CancelFunc
	// unfinishedStages holds the names of the stages that are unfinished, in order.
	unfinishedStages []string
	// stopsBy is when the process ends at the latest; zero while no stop has begun.
	stopsBy time.Time
	err     error
}

// Messages to the lifecycle task.
type (
	lifecycleEvent struct{ event string }
	fleetUpdate    struct{ doc *document.Fleet }
	stageResult    struct{ err error }
)

// NewLifecycle returns the lifecycle task. Run starts it.
func NewLifecycle(options LifecycleOptions) (*Lifecycle, error) {
	if options.AnnounceTime < 0 || options.AnnounceTime >= options.StopLimit {
		return nil, fault.New(fault.Invalid, "set drain.limit above drain.announce", "drain.announce is %v and drain.limit is %v", options.AnnounceTime, options.StopLimit)
	}
	l := &Lifecycle{
		options: options, inbox: task.NewMailbox[any]("lifecycle", lifecycleCapacity), ended: make(chan struct{}),
		cancelStages: func() {},
	}
	for _, s := range options.Stages {
		l.unfinishedStages = append(l.unfinishedStages, s.Name)
	}
	if err := l.bind(); err != nil {
		return nil, err
	}
	l.publish()
	return l, nil
}

// bind binds the charts of the instance and its availability zone, and starts their machines.
func (l *Lifecycle) bind() error {
	ch, err := charts.Load("instance", charts.Params{"announce_time": l.options.AnnounceTime, "drain_time": l.options.StopLimit - l.options.AnnounceTime})
	if err != nil {
		return err
	}
	bound, err := chart.Bind(ch, chart.Bindings[*Lifecycle]{Actions: map[string]func(*Lifecycle){
		"report_serving":         func(l *Lifecycle) { l.options.PublishState(member.Serving) },
		"report_draining":        (*Lifecycle).reportDraining,
		"start_stages":           (*Lifecycle).startStages,
		"cancel_stages":          func(l *Lifecycle) { l.cancelStages() },
		"report_unfinished_work": (*Lifecycle).reportUnfinishedWork,
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
	l.machine, l.zoneMachine = bound.New(time.Now(), l), zone.New(time.Now(), l)
	return nil
}

// Status returns the current status of the instance.
func (l *Lifecycle) Status() *LifecycleStatus { return l.status.Load() }

// Configured reports that a complete configuration is in force.
func (l *Lifecycle) Configured() { l.send(lifecycleEvent{event: "configured"}) }

// Stop starts a graceful stop. Run returns when it has ended.
func (l *Lifecycle) Stop() { l.send(lifecycleEvent{event: "stop"}) }

// ApplyFleet applies the fleet document in force, which lists the availability zones that are taken out.
func (l *Lifecycle) ApplyFleet(doc *document.Fleet) { l.send(fleetUpdate{doc: doc}) }

func (l *Lifecycle) send(m any) { l.inbox.SendUntil(l.ended, m) }

// Run is the body of the lifecycle task. It ends after a graceful stop or with the context. If the stop reached its limit,
// the error names the unfinished stages.
func (l *Lifecycle) Run(ctx context.Context) error {
	defer close(l.ended)
	defer func() { l.cancelStages() }()
	alarm := task.NewAlarm("lifecycle", l.options.Log)
	defer alarm.Stop()
	for !l.machine.Final() {
		alarm.SetFirst(dueOf(l.machine), dueOf(l.zoneMachine))
		select {
		case m := <-l.inbox.C():
			l.handle(m)
		case <-alarm.C():
			l.machine.Tick(time.Now())
			l.zoneMachine.Tick(time.Now())
		case <-ctx.Done():
			return nil
		}
		l.publish()
	}
	return l.err
}

// dueOf returns when the next timeout of a machine is due; zero if there is none.
func dueOf(m *chart.Machine[*Lifecycle]) time.Time {
	due, _ := m.Deadline()
	return due
}

func (l *Lifecycle) handle(m any) {
	switch m := m.(type) {
	case lifecycleEvent:
		l.fire(l.machine, m.event)
	case fleetUpdate:
		if m.doc.IsZoneOut(l.options.Zone) {
			l.fire(l.zoneMachine, "take_out")
		} else {
			l.fire(l.zoneMachine, "bring_in")
		}
	case stageResult:
		l.handleStageResult(m)
	}
}

func (l *Lifecycle) fire(m *chart.Machine[*Lifecycle], event string) {
	if err := m.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

// reportDraining publishes that the instance stops, and records when it ends at the latest.
func (l *Lifecycle) reportDraining() {
	l.options.PublishState(member.Draining)
	if !l.stopsBy.IsZero() {
		return
	}
	left := l.options.StopLimit
	if l.machine.In("draining") {
		left -= l.options.AnnounceTime // the announcement is left out
	}
	l.stopsBy = time.Now().Add(left)
}

// startStages runs the stages one after the other in their own goroutine.
func (l *Lifecycle) startStages() {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancelStages = cancel
	go func() {
		for _, s := range l.options.Stages {
			l.send(stageResult{err: s.Run(ctx)})
		}
	}()
	if len(l.options.Stages) == 0 {
		go l.send(lifecycleEvent{event: "finished"})
	}
}

func (l *Lifecycle) handleStageResult(m stageResult) {
	if m.err != nil {
		l.options.Log.Warn("stage of the graceful stop left work unfinished", "stage", l.unfinishedStages[0], "error", m.err)
	}
	l.unfinishedStages = l.unfinishedStages[1:]
	if len(l.unfinishedStages) == 0 {
		l.fire(l.machine, "finished")
	}
}

// reportUnfinishedWork sets the error of Run when the stop reaches its limit.
func (l *Lifecycle) reportUnfinishedWork() {
	l.err = fault.New(fault.DeadlineExceeded, "raise drain.limit, or find out what keeps the work from ending",
		"the stop reached its limit of %v; still open: %s", l.options.StopLimit, strings.Join(l.unfinishedStages, ", "))
}

// lifecycleReasons holds the Reason of each state of charts/instance.toml.
var lifecycleReasons = map[string]string{
	"starting":   "no complete configuration is in force yet",
	"serving":    "the instance takes requests",
	"announcing": "the instance is stopping",
	"draining":   "the instance is stopping",
	"stopped":    "the instance has stopped",
}

// publish updates the status from the states of the machines.
func (l *Lifecycle) publish() {
	s := &LifecycleStatus{State: l.machine.State(), Zone: l.zoneMachine.State(), StopsBy: l.stopsBy}
	out := l.zoneMachine.In("leaving") || l.zoneMachine.In("out")
	s.Ready = l.machine.In("serving") && !out
	s.Reason = lifecycleReasons[s.State]
	if l.machine.In("serving") && out {
		s.Reason = "operators have taken availability zone " + l.options.Zone + " out"
	}
	l.status.Store(s)
}
