package cli

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Fields of a log line that trace reads.
const (
	fieldRequest = "request"
	fieldTime    = "time"
	fieldMessage = "msg"
	fieldLevel   = "level"
)

// maxLogLine is the longest log line that is read, in bytes.
const maxLogLine = 1 << 20

// beliefs are messages about what an instance believes. The newest of each before a request is printed with it.
var beliefs = []string{
	"instance starts", "configuration is in force", "availability zone is taken out", "availability zone is back", "source of news changed",
	"store does not answer", "store answers again",
}

func (t *tool) trace() *cli.Command {
	return &cli.Command{
		Name: "trace", Usage: "print the life of one request from the logs of instances", ArgsUsage: "ID FILE...",
		Action: t.runTrace,
	}
}

func (t *tool) runTrace(_ context.Context, c *cli.Command) error {
	if c.NArg() < 2 {
		return usage("name the id of a request and log files: fuchsiahub trace ID FILE...", "%d arguments are given", c.NArg())
	}
	id := c.Args().First()
	found := trace{}
	for _, path := range c.Args().Slice()[1:] {
		if err := found.readFile(path, id); err != nil {
			return err
		}
	}
	if len(found.lines) == 0 {
		return fault.New(fault.NotFound, "name the logs of all instances of the time",
			"request %s is in none of the logs (%d lines cannot be read)", id, found.unreadable)
	}
	return found.write(t.Out)
}

// logLine is one line of an instance's log.
type logLine struct {
	at     time.Time
	source string
	fields map[string]any
}

// trace collects the lines of one request and what the instances believed before it.
type trace struct {
	lines      []logLine
	unreadable int
}

func (t *trace) readFile(path, id string) error {
	file, err := os.Open(path)
	if err != nil {
		return fault.Wrap(err, fault.NotFound, "name a file that exists", "log cannot be read")
	}
	defer func() { _ = file.Close() }() // it was only read
	return t.read(file, path, id)
}

// read takes the lines of the request, and before the first of them the newest line of each belief.
func (t *trace) read(in io.Reader, source, id string) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	believed := map[string]logLine{}
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes(), source)
		if !ok {
			t.unreadable++
			continue
		}
		message, _ := line.fields[fieldMessage].(string)
		switch {
		case line.fields[fieldRequest] == id:
			t.lines = append(t.lines, slices.Collect(maps.Values(believed))...)
			clear(believed)
			t.lines = append(t.lines, line)
		case slices.Contains(beliefs, message):
			believed[message] = line
		}
	}
	return errors.Wrapf(scanner.Err(), "log %s cannot be read", source)
}

func parseLine(text []byte, source string) (logLine, bool) {
	line := logLine{source: source}
	if json.Unmarshal(text, &line.fields) != nil {
		return line, false
	}
	at, _ := line.fields[fieldTime].(string)
	parsed, err := time.Parse(time.RFC3339Nano, at)
	line.at = parsed
	return line, err == nil
}

// write prints the lines in the order of their times.
func (t *trace) write(out io.Writer) error {
	slices.SortStableFunc(t.lines, func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	for _, line := range t.lines {
		if _, err := fmt.Fprintln(out, line.String()); err != nil {
			return err
		}
	}
	if t.unreadable > 0 {
		_, err := fmt.Fprintf(out, "%d lines cannot be read\n", t.unreadable)
		return err
	}
	return nil
}

// String returns time, source, level and message, and the other fields by name.
func (l logLine) String() string {
	parts := []string{l.at.Format("15:04:05.000"), l.source, fmt.Sprint(l.fields[fieldLevel]), fmt.Sprint(l.fields[fieldMessage])}
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if name != fieldTime && name != fieldLevel && name != fieldMessage && name != fieldRequest {
			parts = append(parts, fmt.Sprintf("%s=%v", name, l.fields[name]))
		}
	}
	return strings.Join(parts, "  ")
}
