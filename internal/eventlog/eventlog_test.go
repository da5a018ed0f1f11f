package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"
)

// blockedOutput is an output whose writes block until it is released.
type blockedOutput struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	return s.text.Write(p)
}

// logLine contains the fields of a log line that the tests check.
type logLine struct {
	Msg     string
	LeftOut int `json:"left_out"`
	Dropped int
}

func decodeLines(t *testing.T, text []byte) []logLine {
	t.Helper()
	var lines []logLine
	for decoder := json.NewDecoder(bytes.NewReader(text)); decoder.More(); {
		var l logLine
		if err := decoder.Decode(&l); err != nil {
			t.Fatal(err)
		}
		lines = append(lines, l)
	}
	return lines
}

// Guards against a logger that blocks while nobody reads standard output, and against lines that are dropped without being
// counted.
func TestBlockedOutputDoesNotDelayLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedOutput{release: make(chan struct{})}
		l := New(out, slog.LevelInfo)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			l.Run(ctx)
			close(ended)
		}()
		logger := l.Logger()
		const burst = 4 * mailboxSize
		start := time.Now()
		for i := range burst {
			logger.Warn("request ended", "request", i, "padding", "some text so that the buffer is soon full")
			if i%100 == 0 {
				synctest.Wait()
			}
		}
		if waited := time.Since(start); waited > 0 {
			t.Errorf("%d lines took %s", burst, waited)
		}
		close(out.release)
		synctest.Wait()
		time.Sleep(2 * time.Second) // resets the limit per second
		logger.Warn("request ended")
		synctest.Wait()
		cancel()
		<-ended
		lines := decodeLines(t, out.text.Bytes())
		counted := len(lines)
		for _, line := range lines {
			counted += line.LeftOut + line.Dropped
		}
		if counted != burst+1 || len(lines) > 2*warnLinesPerSecond {
			t.Errorf("%d of %d lines are written or counted; %d are written", counted, burst+1, len(lines))
		}
	})
}

// Guards against a log volume that grows with the load. The users' peak is about 250 requests per second for all
// instances; the test logs ten times as many at one instance.
func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := New(&out, slog.LevelInfo)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			l.Run(ctx)
			close(ended)
		}()
		logger := l.Logger()
		const seconds, perSecond = 5, 2500
		for range seconds {
			for range perSecond {
				logger.Info("request is sent")
				logger.Warn("request ended")
				synctest.Wait()
			}
			time.Sleep(time.Second)
		}
		cancel()
		<-ended
		count := map[string]int{}
		counted := 0
		for _, line := range decodeLines(t, out.Bytes()) {
			count[line.Msg]++
			counted += 1 + line.LeftOut
		}
		if info, warn := count["request is sent"], count["request ended"]; info > seconds*infoLinesPerSecond || warn > seconds*warnLinesPerSecond || info >= warn {
			t.Errorf("%d info lines and %d warnings are written in %d s", info, warn, seconds)
		}
		if minimum := 2 * (seconds - 1) * perSecond; counted < minimum {
			t.Errorf("%d lines are written or counted, but at least %d were logged before the last second", counted, minimum)
		}
	})
}
