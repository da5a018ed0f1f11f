// Package eventlog writes structured logs without blocking the callers of the logger.
//
// A task owns the output. Records reach it through a bounded mailbox; when the mailbox is full, records are dropped and
// counted. The number of lines per second is limited for each message, and the next line of a message reports how many
// were left out. The limit is higher for records of level Warn and above, so that failed and refused requests have
// priority over successful ones.
package eventlog

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// mailboxSize is the number of records that may wait for the output.
	mailboxSize = 1024
	// infoLinesPerSecond and warnLinesPerSecond bound the lines of one message per second: the first for records below
	// level Warn, the second for the others.
	infoLinesPerSecond = 100
	warnLinesPerSecond = 200
	// writeBufferSize is the size in bytes of the output buffer.
	writeBufferSize = 8 << 10
	// flushInterval is the interval at which buffered lines are written.
	flushInterval = 100 * time.Millisecond
)

// Log is the task that owns the output. Its handlers may be used by any task.
type Log struct {
	records chan record
	out     *bufio.Writer
	encoder slog.Handler
	// dropped is the number of records that were dropped because the mailbox was full.
	dropped       atomic.Int64
	level         slog.Level
	currentSecond time.Time
	lineCounts    map[string]*lineCount
}

// record is a log record with the attributes of its logger.
type record struct {
	slog.Record
	attrs []slog.Attr
}

// lineCount counts the lines of one message that were written in the current second, and those left out since its last
// line.
type lineCount struct{ written, leftOut int }

// New returns a log that writes JSON lines to out while Run runs.
func New(out io.Writer, level slog.Level) *Log {
	l := &Log{records: make(chan record, mailboxSize), out: bufio.NewWriterSize(out, writeBufferSize), level: level, lineCounts: map[string]*lineCount{}}
	l.encoder = slog.NewJSONHandler(l.out, &slog.HandlerOptions{Level: level})
	return l
}

// Logger returns a logger that never blocks.
func (l *Log) Logger() *slog.Logger { return slog.New(&handler{log: l}) }

// Run writes records until the context ends. It then writes those that remain in the mailbox.
func (l *Log) Run(ctx context.Context) {
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	for {
		select {
		case r := <-l.records:
			l.write(r)
		case <-flush.C:
			l.flush()
		case <-ctx.Done():
			l.drain()
			return
		}
	}
}

// drain writes the records in the mailbox and flushes the output.
func (l *Log) drain() {
	for {
		select {
		case r := <-l.records:
			l.write(r)
		default:
			l.flush()
			return
		}
	}
}

func (l *Log) flush() {
	_ = l.out.Flush() // a failure of the log output cannot be logged
}

// write writes a record unless its message has reached the limit of the current second.
func (l *Log) write(r record) {
	if second := r.Time.Truncate(time.Second); !second.Equal(l.currentSecond) {
		l.currentSecond = second
		for _, n := range l.lineCounts {
			n.written = 0
		}
	}
	count := l.lineCounts[r.Message]
	if count == nil {
		count = &lineCount{}
		l.lineCounts[r.Message] = count
	}
	limit := infoLinesPerSecond
	if r.Level >= slog.LevelWarn {
		limit = warnLinesPerSecond
	}
	if count.written >= limit {
		count.leftOut++
		return
	}
	count.written++
	out := r.Record
	out.AddAttrs(r.attrs...)
	if leftOut := count.leftOut; leftOut > 0 {
		count.leftOut = 0
		out.AddAttrs(slog.Int("left_out", leftOut))
	}
	if dropped := l.dropped.Swap(0); dropped > 0 {
		out.AddAttrs(slog.Int64("dropped", dropped))
	}
	_ = l.encoder.Handle(context.Background(), out) // a failure of the log output cannot be logged
}

// handler passes records to the task. Groups are ignored, because this program does not use them.
type handler struct {
	log   *Log
	attrs []slog.Attr
}

// Enabled reports whether records of the level are written.
func (h *handler) Enabled(_ context.Context, level slog.Level) bool { return level >= h.log.level }

// Handle passes a record to the task, or drops and counts it when the mailbox is full.
func (h *handler) Handle(_ context.Context, r slog.Record) error {
	select {
	case h.log.records <- record{Record: r, attrs: h.attrs}:
	default:
		h.log.dropped.Add(1)
	}
	return nil
}

// WithAttrs returns a handler that adds attributes to each record.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	all := append([]slog.Attr{}, h.attrs...)
	return &handler{log: h.log, attrs: append(all, attrs...)}
}

// WithGroup returns the handler unchanged.
func (h *handler) WithGroup(string) slog.Handler { return h }
