// Package eventlog writes structured logs without ever blocking the code that logs.
//
// A task owns the output. Records reach it through a bounded mailbox; when the mailbox is full they are dropped and
// counted. The number of lines a second is bounded for each message, and the next line of a message that was left out
// says how many were. Records of level Warn and above have a larger bound than others, so that failed and refused
// requests come before served ones.
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
	// capacity bounds the records that wait for the output.
	capacity = 1024
	// plainPerSecond and warnPerSecond bound the lines of one message in a second.
	plainPerSecond = 100
	warnPerSecond  = 200
	// writeBuffer holds the lines that are written at once.
	writeBuffer = 8 << 10
	// flushPause is how long lines may wait for others before they are written.
	flushPause = 100 * time.Millisecond
)

// Log is the task that owns the output. Its handlers may be used by any task.
type Log struct {
	records chan record
	out     *bufio.Writer
	json    slog.Handler
	// dropped counts records for which the mailbox had no room.
	dropped atomic.Int64
	level   slog.Level
	second  time.Time
	lines   map[string]*lines
}

type record struct {
	slog.Record
	attrs []slog.Attr
}

// lines counts the lines of one message in the present second, and those that were left out since the last line.
type lines struct{ written, left int }

// New returns a log that writes JSON lines. Run writes them.
func New(out io.Writer, level slog.Level) *Log {
	l := &Log{records: make(chan record, capacity), out: bufio.NewWriterSize(out, writeBuffer), level: level, lines: map[string]*lines{}}
	l.json = slog.NewJSONHandler(l.out, &slog.HandlerOptions{Level: level})
	return l
}

// Logger returns a logger that never blocks.
func (l *Log) Logger() *slog.Logger { return slog.New(&handler{log: l}) }

// Run is the body of the task. It ends with the context, after the records that wait were written.
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
	_ = l.out.Flush() // an output that cannot be written has nobody to tell
}

// write writes a record unless its message has had its lines of this second.
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
	_ = l.json.Handle(context.Background(), out) // an output that cannot be written has nobody to tell
}

// handler passes records to the task. Groups are not used by this program and are ignored.
type handler struct {
	log   *Log
	attrs []slog.Attr
}

// Enabled reports whether records of the level are written.
func (h *handler) Enabled(_ context.Context, level slog.Level) bool { return level >= h.log.level }

// Handle offers a record and counts it when there is no room.
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

// WithGroup returns the handler itself.
func (h *handler) WithGroup(string) slog.Handler { return h }
