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

// Keys of a log line that trace handles specially.
const (
	fieldRequest = "request"
	// fieldRequests lists several requests.
	fieldRequests = "requests"
	fieldTime     = "time"
	fieldMessage  = "msg"
	fieldLevel    = "level"
)

// maxLogLine is the maximum length of a log line, in bytes.
const maxLogLine = 1 << 20

// contextMessages lists log messages that report a change of what an instance knows, such as its configuration. The
// newest line of each message before a line of the request is printed too, for context.
var contextMessages = []string{
	"instance starts", "configuration is in force", "availability zone is taken out", "availability zone is back", "source of news changed",
	"store does not answer", "store answers again",
}

func (t *tool) trace() *cli.Command {
	return &cli.Command{
		Name: "trace", Usage: "print the log lines of one request from the logs of several instances, in order of time", ArgsUsage: "ID FILE...",
		Action: t.runTrace,
	}
}

func (t *tool) runTrace(_ context.Context, c *cli.Command) error {
	if c.NArg() < 2 {
		return newUsageError("give a request ID and log files: fuchsiahub trace ID FILE...", "expected at least two arguments, got %d", c.NArg())
	}
	id := c.Args().First()
	found := requestTrace{}
	for _, path := range c.Args().Slice()[1:] {
		if err := found.readFile(path, id); err != nil {
			return err
		}
	}
	if len(found.lines) == 0 {
		return fault.New(fault.NotFound, "give the logs of all instances for the time of the request",
			"request %s does not occur in the logs (unparsable lines: %d)", id, found.unparsable)
	}
	return found.write(t.Out)
}

// logLine is one line of an instance's log.
type logLine struct {
	at     time.Time
	source string
	fields map[string]any
}

// requestTrace collects the log lines of one request and, for context, those of preceding state changes of the instances.
type requestTrace struct {
	lines      []logLine
	unparsable int
}

func (t *requestTrace) readFile(path, id string) error {
	file, err := os.Open(path)
	if err != nil {
		return fault.Wrap(err, fault.NotFound, "check the path and the permissions of the log file", "log file cannot be read")
	}
	defer func() { _ = file.Close() }() // nothing was written
	return t.read(file, path, id)
}

// read collects the lines of the request. Before each of them it adds the newest line of each context message that has
// been logged since the previous one.
func (t *requestTrace) read(in io.Reader, source, id string) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	latestContext := map[string]logLine{}
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes(), source)
		if !ok {
			t.unparsable++
			continue
		}
		message, _ := line.fields[fieldMessage].(string)
		switch {
		case line.isAbout(id):
			t.lines = append(t.lines, slices.Collect(maps.Values(latestContext))...)
			clear(latestContext)
			t.lines = append(t.lines, line)
		case slices.Contains(contextMessages, message):
			latestContext[message] = line
		}
	}
	return errors.Wrapf(scanner.Err(), "log file %s cannot be read", source)
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

// write prints the lines in order of time.
func (t *requestTrace) write(out io.Writer) error {
	slices.SortStableFunc(t.lines, func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	for _, line := range t.lines {
		if _, err := fmt.Fprintln(out, line.String()); err != nil {
			return err
		}
	}
	if t.unparsable > 0 {
		_, err := fmt.Fprintf(out, "unparsable lines: %d\n", t.unparsable)
		return err
	}
	return nil
}

// isAbout reports whether the line names the request, alone or in a list.
func (l logLine) isAbout(id string) bool {
	list, _ := l.fields[fieldRequests].([]any)
	return l.fields[fieldRequest] == id || slices.Contains(list, any(id))
}

// String returns the time, source, level and message, followed by the other fields in order of their keys.
func (l logLine) String() string {
	parts := []string{l.at.Format("15:04:05.000"), l.source, fmt.Sprint(l.fields[fieldLevel]), fmt.Sprint(l.fields[fieldMessage])}
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if name != fieldTime && name != fieldLevel && name != fieldMessage && name != fieldRequest {
			parts = append(parts, fmt.Sprintf("%s=%v", name, l.fields[name]))
		}
	}
	return strings.Join(parts, "  ")
}
