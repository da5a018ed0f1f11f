package audit

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	writerCapacity = 256
	// maxWaiting bounds the records that wait for a write, as while the object API is down.
	maxWaiting = 1000
	// writeLimit bounds one append with its reads.
	writeLimit = 20 * time.Second
	// lastWriteLimit bounds the write of what still waits when the instance stops.
	lastWriteLimit = 2 * time.Second
)

// Writer is the task that writes the trail of one instance.
type Writer struct {
	inbox *task.Mailbox[Record]
	log   *slog.Logger
	by    string
	// prefix makes the ids of this writer's records unique.
	prefix  string
	machine *chart.Machine[*Writer]
	trail   *Trail
	count   uint64
	waiting []Record
	// underWay is how many of the waiting records are in the write that is under way; overflow counts records that
	// were dropped and are not yet in the trail.
	underWay, overflow int
	done               chan result
}

// result is how a write ended: how many records were written, and how many dropped ones were counted.
type result struct {
	written, counted int
	err              error
}

// NewWriter returns the writer of an instance. The incarnation differs for each start of the process.
func NewWriter(api objectapi.API, instance string, incarnation uint64, log *slog.Logger) (*Writer, error) {
	ch, err := charts.Load("audit", nil)
	if err != nil {
		return nil, err
	}
	w := &Writer{
		inbox: task.NewMailbox[Record]("audit", writerCapacity), log: log, by: instance,
		prefix: instance + "-" + strconv.FormatUint(incarnation, 36) + "-",
		trail:  NewTrail(api, OfInstances, instance), done: make(chan result, 1),
	}
	bound, err := chart.Bind(ch, chart.Bindings[*Writer]{
		Guards:  map[string]func(*Writer) bool{"records_wait": func(w *Writer) bool { return len(w.waiting) > 0 }},
		Actions: map[string]func(*Writer){"write": (*Writer).write},
	})
	if err != nil {
		return nil, err
	}
	w.machine = bound.New(time.Now(), w)
	return w, nil
}

// Offer adds a record without blocking. It fails with fault.Overloaded when too many wait; the record is then lost.
func (w *Writer) Offer(r Record) error {
	r.Time = time.Now().UTC()
	return w.inbox.Offer(r)
}

// Run is the body of the writer's task. When the context ends it writes what waits, if the object API answers soon.
func (w *Writer) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		w.arm(timer)
		select {
		case r := <-w.inbox.C():
			w.add(r)
		case r := <-w.done:
			w.ended(r)
		case <-timer.C:
			w.machine.Tick(time.Now())
		case <-ctx.Done():
			w.finish()
			return nil
		}
	}
}

func (w *Writer) arm(timer *time.Timer) {
	if due, ok := w.machine.Deadline(); ok {
		timer.Reset(time.Until(due))
		return
	}
	timer.Reset(time.Hour)
}

func (w *Writer) fire(event string) {
	if err := w.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

// add takes a record in and drops the oldest one that is not being written when too many wait.
func (w *Writer) add(r Record) {
	w.count++
	r.ID = w.prefix + fmt.Sprintf("%08d", w.count) // of one length, so that ids sort in their order
	r.By = w.by
	w.waiting = append(w.waiting, r.bounded())
	if len(w.waiting) > maxWaiting {
		w.waiting = append(w.waiting[:w.underWay:w.underWay], w.waiting[w.underWay+1:]...)
		w.overflow++
	}
	w.fire("record")
}

// write starts one append on a goroutine of its own, so that the task goes on taking records.
func (w *Writer) write() {
	records, overflow := append([]Record(nil), w.waiting...), w.overflow
	w.underWay = len(records)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeLimit)
		defer cancel()
		w.done <- w.append(ctx, records, overflow)
	}()
}

func (w *Writer) append(ctx context.Context, records []Record, overflow int) result {
	written, err := w.trail.Append(ctx, records, overflow)
	r := result{written: written, err: err}
	if written > 0 {
		r.counted = overflow
	}
	return r
}

func (w *Writer) ended(r result) {
	w.waiting = append([]Record(nil), w.waiting[r.written:]...)
	w.overflow -= r.counted
	w.underWay = 0
	if r.err != nil {
		w.log.Warn("audit records wait, because the trail cannot be written", "waiting", len(w.waiting), "error", r.err)
		w.fire("failed")
		return
	}
	w.fire("written")
}

// finish waits for a write that is under way and makes a last one.
func (w *Writer) finish() {
	if w.machine.In("writing") {
		w.ended(<-w.done)
	}
	for len(w.inbox.C()) > 0 {
		w.add(<-w.inbox.C())
	}
	if len(w.waiting) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), lastWriteLimit)
	defer cancel()
	if r := w.append(ctx, w.waiting, w.overflow); r.err != nil {
		w.log.Warn("audit records are lost, because the trail cannot be written", "lost", len(w.waiting)-r.written, "error", r.err)
	}
}
