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
	// capacity is the mailbox size: the number of records that may wait for the output.
	capacity = 1024
	// plainPerSecond and warnPerSecond bound the lines of one message per second, below level Warn and from it on.
	plainPerSecond = 100
	warnPerSecond  = 200
	// writeBuffer is the size in bytes of the output buffer.
	writeBuffer = 8 << 10
	// flushPause is the interval at which buffered lines are written.
	flushPause = 100 * time.Millisecond
)

// Log is the task that owns the output. Its handlers may be used by any task.
type Log struct {
	records chan record
	out     *bufio.Writer
	json    slog.Handler
	// dropped is the number of records that were dropped because the mailbox was full.
	dropped atomic.Int64
	level   slog.Level
	second  time.Time
	lines   map[string]*lines
}

// record is a log record with the attributes of its logger.
type record struct {
	slog.Record
	attrs []slog.Attr
}

// lines counts the lines of one message that were written in the current second, and those left out since its last line.
type lines struct{ written, left int }

// New returns a log that writes JSON lines. Run writes them.
func New(out io.Writer, level slog.Level) *Log {
	l := &Log{records: make(chan record, capacity), out: bufio.NewWriterSize(out, writeBuffer), level: level, lines: map[string]*lines{}}
	l.json = slog.NewJSONHandler(l.out, &slog.HandlerOptions{Level: level})
	return l
}

// Logger returns a logger that never blocks.
func (l *Log) Logger() *slog.Logger { return slog.New(&handler{log: l}) }

// Run writes records until the context ends. It then writes those that remain in the mailbox.
func (l *Log) Run(ctx context.Context) {
	flush := time.NewTicker(flushPause)
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
	if second := r.Time.Truncate(time.Second); !second.Equal(l.second) {
		l.second = second
		for _, n := range l.lines {
			n.written = 0
		}
	}
	n := l.lines[r.Message]
	if n == nil {
		n = &lines{}
		l.lines[r.Message] = n
	}
	bound := plainPerSecond
	if r.Level >= slog.LevelWarn {
		bound = warnPerSecond
	}
	if n.written >= bound {
		n.left++
		return
	}
	n.written++
	out := r.Record
	out.AddAttrs(r.attrs...)
	if left := n.left; left > 0 {
		n.left = 0
		out.AddAttrs(slog.Int("left_out", left))
	}
	if dropped := l.dropped.Swap(0); dropped > 0 {
		out.AddAttrs(slog.Int64("dropped", dropped))
	}
	_ = l.json.Handle(context.Background(), out) // a failure of the log output cannot be logged
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
