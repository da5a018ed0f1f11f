package objecthttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
)

const (
	maxListBytes    = 64 << 20
	maxObjectBytes  = maxLineBytes
	maxProblemBytes = 16 << 10
)

// do makes one call and decodes its answer into the target; with a nil target the body is ignored.
func (c *Client) do(ctx context.Context, call apiCall, into any) error {
	if err := call.validate(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A write without a connection cannot have taken effect. GotConn is called by the goroutine that waits in RoundTrip,
	// so sent needs no lock.
	sent := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }})
	request, err := call.request(ctx, c.base)
	if err != nil {
		return err
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return call.callFailedError(err, sent)
	}
	defer discardBody(response)
	if response.StatusCode/100 != 2 {
		return call.statusError(response)
	}
	return call.decodeAnswer(response, into)
}

// discardBody reads and discards a short rest of the body, so that the connection can be reused, and closes it.
func discardBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxProblemBytes)
	_ = response.Body.Close()
}

func (call apiCall) request(ctx context.Context, base string) (*http.Request, error) {
	var body io.Reader
	if call.body != nil {
		text, err := json.Marshal(call.body)
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "value of %s cannot be encoded", call.objectPath())
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, call.method, call.url(base), body)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "check platform.address in the settings", "address of the object API is not valid")
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

func (call apiCall) decodeAnswer(response *http.Response, into any) error {
	if into == nil {
		return nil
	}
	limit := maxListBytes
	if call.name != "" {
		limit = maxObjectBytes
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		return call.callFailedError(err, true)
	}
	if len(text) > limit {
		return call.malformedAnswerError("the answer is too large")
	}
	if err := json.Unmarshal(text, into); err != nil {
		return call.malformedAnswerError("the answer is not valid JSON")
	}
	return nil
}

// callFailedError returns the error for a call without a complete answer.
func (call apiCall) callFailedError(err error, sent bool) error {
	if call.isWrite() && sent {
		return fault.Wrap(err, fault.AmbiguousWrite, "read the object back to learn whether the write took effect",
			"the answer to a write of %s was lost", call.objectPath())
	}
	return fault.Wrap(err, fault.StoreUnavailable, "check the platform's object API and platform.address in the settings",
		"the object API does not answer for %s", call.objectPath())
}

// malformedAnswerError returns the error for an answer that violates the protocol. A write with such an answer may have
// taken effect.
func (call apiCall) malformedAnswerError(message string) error {
	if call.isWrite() {
		return fault.New(fault.AmbiguousWrite, "read the object back to learn whether the write took effect",
			"the object API gave a malformed answer to a write of %s: %s", call.objectPath(), message)
	}
	return fault.New(fault.Invalid, "check that platform.address in the settings names the object API",
		"the object API gave a malformed answer for %s: %s", call.objectPath(), message)
}

// statusError returns the error for an answer with a status other than success.
func (call apiCall) statusError(response *http.Response) error {
	var problem Problem
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes)) // without a body the status alone decides
	_ = json.Unmarshal(text, &problem)
	switch response.StatusCode {
	case http.StatusNotFound:
		return fault.New(fault.NotFound, "check the kind and the name", "object %s does not exist", call.objectPath())
	case http.StatusConflict:
		return fault.New(fault.Conflict, "get the object, make the change again and apply it", "object %s has been changed by someone else or exists already", call.objectPath())
	case http.StatusGone:
		return fault.New(fault.TooOld, "list the objects again and watch from there", "the object API no longer has the version to watch %s from", call.objectPath())
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fault.New(fault.Invalid, "correct the call", "the object API refused the call for %s: %s", call.objectPath(), problem.Message)
	}
	noEffect := response.StatusCode == http.StatusTooManyRequests ||
		response.StatusCode == http.StatusServiceUnavailable && problem.Reason == ReasonUnavailable
	if call.isWrite() && !noEffect {
		return fault.New(fault.AmbiguousWrite, "read the object back to learn whether the write took effect",
			"the object API answered a write of %s with status %d", call.objectPath(), response.StatusCode)
	}
	return fault.New(fault.StoreUnavailable, "wait until the platform's object API answers again",
		"the object API answered with status %d for %s: %s", response.StatusCode, call.objectPath(), problem.Message)
}

var _ objectapi.Watch = (*watch)(nil)
