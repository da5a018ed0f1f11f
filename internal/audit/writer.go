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
	// maxWaiting bounds the records that wait for a write, for example while the object API is unavailable.
	maxWaiting = 1000
	// writeLimit is the timeout of one append, including its reads.
	writeLimit = 20 * time.Second
	// lastWriteLimit is the timeout of the last write when the instance stops.
	lastWriteLimit = 2 * time.Second
)

// Writer is the task that writes the audit trail of one instance.
type Writer struct {
	inbox *task.Mailbox[Record]
	log   *slog.Logger
	by    string
	// prefix makes the IDs of this writer's records unique.
	prefix  string
	machine *chart.Machine[*Writer]
	trail   *Trail
	count   uint64
	waiting []Record
	// underWay is the number of waiting records in the write that is in flight; overflow is the number of dropped
	// records that the trail does not count yet.
	underWay, overflow int
	done               chan result
}

// result is the result of a write: how many records were written, and how many dropped records the trail now counts.
type result struct {
	written, counted int
	err              error
}

// NewWriter returns the writer of an instance. The incarnation must differ for each start of the process.
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

// Offer adds a record without blocking. It returns fault.Overloaded and drops the record when the mailbox is full.
func (w *Writer) Offer(r Record) error {
	r.Time = time.Now().UTC()
	return w.inbox.Offer(r)
}

// Run runs the task until the context ends. It then makes a last attempt to write the waiting records.
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
		panic(err) // events are constants of this package, so an unknown one is a programming error
	}
}

// add adds a record to the waiting ones. When there are too many, it drops the oldest one that is not in flight.
func (w *Writer) add(r Record) {
	w.count++
	r.ID = w.prefix + fmt.Sprintf("%08d", w.count) // of fixed width, so that IDs sort in the order of records
	r.By = w.by
	w.waiting = append(w.waiting, r.bounded())
	if len(w.waiting) > maxWaiting {
		w.waiting = append(w.waiting[:w.underWay:w.underWay], w.waiting[w.underWay+1:]...)
		w.overflow++
	}
	w.fire("record")
}

// write starts one append in a separate goroutine, so that the task continues to accept records.
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

// ended handles the result of a write.
func (w *Writer) ended(r result) {
	w.waiting = append([]Record(nil), w.waiting[r.written:]...)
	w.overflow -= r.counted
	w.underWay = 0
	if r.err != nil {
		w.log.Warn("audit records are delayed because the trail cannot be written", "waiting", len(w.waiting), "error", r.err)
		w.fire("failed")
		return
	}
	w.fire("written")
}

// finish waits for a write in flight and then writes the remaining records.
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
		w.log.Warn("audit records are lost because the trail cannot be written", "lost", len(w.waiting)-r.written, "error", r.err)
	}
}
