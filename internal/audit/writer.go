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
	writerMailboxSize = 256
	// maxWaiting bounds the records that wait for a write, for example while the object API is unavailable.
	maxWaiting = 1000
	// writeTimeout is the timeout of one append, including its reads.
	writeTimeout = 20 * time.Second
	// lastWriteTimeout is the timeout of the last write when the instance stops.
	lastWriteTimeout = 2 * time.Second
)

// Writer is the task that writes the audit trail of one instance.
type Writer struct {
	inbox    *task.Mailbox[Record]
	log      *slog.Logger
	instance string
	// idPrefix makes the IDs of this writer's records unique.
	idPrefix    string
	machine     *chart.Machine[*Writer]
	trail       *Trail
	recordCount uint64
	waiting     []Record
	// inFlight is the number of waiting records in the write that is in flight; dropped is the number of records that
	// were dropped and are not yet counted in the trail.
	inFlight, dropped int
	results           chan writeResult
}

// writeResult is the result of a write: how many records were written, and how many dropped records the trail now counts.
type writeResult struct {
	written, countedDropped int
	err                     error
}

// NewWriter returns the writer of an instance. The incarnation must differ for each start of the process.
func NewWriter(api objectapi.API, instance string, incarnation uint64, log *slog.Logger) (*Writer, error) {
	ch, err := charts.Load("audit", nil)
	if err != nil {
		return nil, err
	}
	w := &Writer{
		inbox: task.NewMailbox[Record]("audit", writerMailboxSize), log: log, instance: instance,
		idPrefix: instance + "-" + strconv.FormatUint(incarnation, 36) + "-",
		trail:    NewTrail(api, InstancePartitions, instance), results: make(chan writeResult, 1),
	}
	bound, err := chart.Bind(ch, chart.Bindings[*Writer]{
		Guards:  map[string]func(*Writer) bool{"records_wait": func(w *Writer) bool { return len(w.waiting) > 0 }},
		Actions: map[string]func(*Writer){"write": (*Writer).startWrite},
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
	alarm := task.NewAlarm("audit", w.log)
	defer alarm.Stop()
	for {
		due, _ := w.machine.Deadline()
		alarm.Set(due)
		select {
		case r := <-w.inbox.C():
			w.enqueue(r)
		case r := <-w.results:
			w.handleResult(r)
		case <-alarm.C():
			w.machine.Tick(time.Now())
		case <-ctx.Done():
			w.flush()
			return nil
		}
	}
}

func (w *Writer) fire(event string) {
	if err := w.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package, so an unknown one is a programming error
	}
}

// enqueue adds a record to the waiting ones. When there are too many, it drops the oldest one that is not in flight.
func (w *Writer) enqueue(r Record) {
	w.recordCount++
	r.ID = w.idPrefix + fmt.Sprintf("%08d", w.recordCount) // of fixed width, so that IDs sort in the order of records
	r.By = w.instance
	w.waiting = append(w.waiting, r.truncated())
	if len(w.waiting) > maxWaiting {
		w.waiting = append(w.waiting[:w.inFlight:w.inFlight], w.waiting[w.inFlight+1:]...)
		w.dropped++
	}
	w.fire("record")
}

// startWrite starts one append in a separate goroutine, so that the task continues to accept records.
func (w *Writer) startWrite() {
	records, dropped := append([]Record(nil), w.waiting...), w.dropped
	w.inFlight = len(records)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		w.results <- w.appendRecords(ctx, records, dropped)
	}()
}

// appendRecords writes records to the trail and returns the result.
func (w *Writer) appendRecords(ctx context.Context, records []Record, dropped int) writeResult {
	written, err := w.trail.Append(ctx, records, dropped)
	r := writeResult{written: written, err: err}
	if written > 0 {
		r.countedDropped = dropped
	}
	return r
}

// handleResult handles the result of a write.
func (w *Writer) handleResult(r writeResult) {
	w.waiting = append([]Record(nil), w.waiting[r.written:]...)
	w.dropped -= r.countedDropped
	w.inFlight = 0
	if r.err != nil {
		w.log.Warn("audit records are delayed because the trail cannot be written", "waiting", len(w.waiting), "error", r.err)
		w.fire("failed")
		return
	}
	w.fire("written")
}

// flush waits for a write in flight and then writes the remaining records.
func (w *Writer) flush() {
	if w.machine.In("writing") {
		w.handleResult(<-w.results)
	}
	for len(w.inbox.C()) > 0 {
		w.enqueue(<-w.inbox.C())
	}
	if len(w.waiting) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), lastWriteTimeout)
	defer cancel()
	if r := w.appendRecords(ctx, w.waiting, w.dropped); r.err != nil {
		w.log.Warn("audit records are lost because the trail cannot be written", "lost", len(w.waiting)-r.written, "error", r.err)
	}
}
