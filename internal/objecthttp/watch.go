package objecthttp

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

const (
	// maxLineBytes is enough for the largest value in base64 with its kind, name and version.
	maxLineBytes = 2 << 20
	// watchCapacity bounds the events that wait for the reader. When it is reached, a slow reader blocks the stream.
	watchCapacity = 16
)

// watch implements objectapi.Watch. A task per watch reads the stream and sends its events to the reader.
type watch struct {
	cancel context.CancelFunc
	events chan objectapi.Event
	// ended receives the error that ended the stream before events is closed.
	ended chan error
	err   error
}

// Watch reports changes of a kind after the given version.
func (c *Client) Watch(ctx context.Context, kind objectapi.Kind, after uint64) (objectapi.Watch, error) {
	call := apiCall{method: http.MethodGet, kind: kind}
	if err := call.validate(); err != nil {
		return nil, err
	}
	// The stream outlives the context of this call; Next has a context of its own.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopCancel := context.AfterFunc(ctx, cancel)
	request, err := call.request(streamCtx, c.base)
	if err != nil {
		cancel()
		return nil, err
	}
	request.URL.RawQuery = "watch=true&after=" + strconv.FormatUint(after, 10)
	response, err := c.transport.RoundTrip(request)
	if err != nil || !stopCancel() {
		cancel()
		if err == nil {
			_ = response.Body.Close()
			err = ctx.Err()
		}
		return nil, call.callFailedError(err, false)
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		defer discardBody(response)
		defer time.AfterFunc(callTimeout, cancel).Stop()
		return nil, call.statusError(response)
	}
	w := &watch{cancel: cancel, events: make(chan objectapi.Event, watchCapacity), ended: make(chan error, 1)}
	go w.read(streamCtx, &stream{call: call, body: response.Body, lastVersion: after})
	return w, nil
}

// Next blocks until the next change. Any error except that of the context ends the watch.
func (w *watch) Next(ctx context.Context) (objectapi.Event, error) {
	select {
	case event, ok := <-w.events:
		if ok {
			return event, nil
		}
	case <-ctx.Done():
		return objectapi.Event{}, ctx.Err()
	}
	if w.err == nil {
		w.err = <-w.ended
	}
	return objectapi.Event{}, w.err
}

// Close ends the watch.
func (w *watch) Close() error {
	w.cancel()
	return nil
}

// read is the body of the watch's task. It owns the stream.
func (w *watch) read(ctx context.Context, s *stream) {
	defer close(w.events)
	defer w.cancel()
	defer func() { _ = s.body.Close() }() // unread data is discarded
	idle := time.AfterFunc(watchIdleTimeout, w.cancel)
	defer idle.Stop()
	lines := bufio.NewScanner(s.body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		idle.Stop() // the time that a slow reader takes does not count as idle
		event, ok, err := s.decodeLine(lines.Bytes())
		if err != nil {
			w.ended <- err
			return
		}
		if ok && !w.deliver(ctx, event) {
			break
		}
		idle.Reset(watchIdleTimeout)
	}
	err := lines.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		w.ended <- s.call.malformedAnswerError("a line of the watch is too long")
		return
	case err == nil:
		err = io.ErrUnexpectedEOF
	}
	w.ended <- s.call.callFailedError(err, false)
}

func (w *watch) deliver(ctx context.Context, event objectapi.Event) bool {
	select {
	case w.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// stream decodes the lines of a watch.
type stream struct {
	call        apiCall
	body        io.ReadCloser
	lastVersion uint64
}

// decodeLine decodes one line; ok is false for a bookmark. Versions must increase, so that no change is reported twice.
func (s *stream) decodeLine(line []byte) (event objectapi.Event, ok bool, err error) {
	var l Line
	if err := json.Unmarshal(line, &l); err != nil {
		return event, false, s.call.malformedAnswerError("a line of the watch is not valid JSON")
	}
	if l.Type == LineBookmark {
		return event, false, nil
	}
	known := l.Type == LinePut || l.Type == LineDeleted
	if !known || l.Object.Kind != s.call.kind || !ValidName(l.Object.Name) || l.Object.Version <= s.lastVersion {
		return event, false, fault.New(fault.Invalid, "watch again from the last version that was received",
			"a line of the watch of %s has an unknown type, a wrong kind or an old version", s.call.objectPath())
	}
	s.lastVersion = l.Object.Version
	return objectapi.Event{Object: l.Object.object(), Deleted: l.Type == LineDeleted}, true, nil
}
