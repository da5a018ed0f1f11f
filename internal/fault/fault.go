package fault

import (
	"errors"
	"fmt"
	"time"
)

// Kind names a class of errors. Kinds are stable: callers and scripts may match on them.
type Kind string

// Error is a typed error with a remedy.
type Error struct {
	// Kind is the class of the error.
	Kind Kind
	// Message describes the problem.
	Message string
	// Remedy describes what the reader can do about it.
	Remedy string
	// NotRun is true only when it is certain that no backend server ran the request.
	NotRun bool
	// AboutEarlierCopy is true when the error is about an earlier copy of a once-only request.
	AboutEarlierCopy bool
	// RetryAfter is the recommended delay before the caller retries; zero means no recommendation.
	RetryAfter time.Duration
	// Regions lists the home regions that may serve the request; empty when the error does not concern regions.
	Regions []string
	cause   error
}

// New returns an error of the given kind.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Wrap returns an error of the given kind with a cause, which Unwrap returns.
func Wrap(cause error, kind Kind, remedy, format string, args ...any) *Error {
	e := New(kind, remedy, format, args...)
	e.cause = cause
	return e
}

// MarkNotRun sets NotRun, because no backend server ran the request, and the recommended delay before a retry.
func (e *Error) MarkNotRun(retryAfter time.Duration) *Error {
	e.NotRun = true
	e.RetryAfter = retryAfter
	return e
}

// MarkEarlierCopy marks the error as being about an earlier copy of a once-only request.
func (e *Error) MarkEarlierCopy() *Error {
	e.AboutEarlierCopy = true
	return e
}

// Error returns the message, the cause and the remedy in one line.
func (e *Error) Error() string {
	text := e.Message
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	if e.Remedy != "" {
		text += " (remedy: " + e.Remedy + ")"
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of the first Error in the chain, or Internal when there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// As returns the first Error in the chain; other errors become an Error of kind Internal.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "report this as a bug with the log lines of the request", "unexpected error")
}

// Is reports whether the chain holds an Error of the given kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
