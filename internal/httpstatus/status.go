package httpstatus

import (
	"bytes"
	"fmt"
	"net/http"
)

const (
	// firstFinal and lastFinal are the lowest and the highest status of a final answer.
	firstFinal, lastFinal = 200, 599
	// digits is the number of digits of a status.
	digits = 3
)

// IsFinal reports whether a status is that of a final answer.
func IsFinal(status int) bool { return status >= firstFinal && status <= lastFinal }

// isInterim reports whether a status is that of an interim answer. A switch of protocols is none: nobody asks for it, and what
// follows it isn't HTTP.
func isInterim(status int) bool {
	return status == http.StatusContinue || status == http.StatusProcessing || status == http.StatusEarlyHints
}

// InvalidError is the error for an answer whose status, or whose use of an interim status, is not valid.
type InvalidError struct{ Status string }

func (e *InvalidError) Error() string {
	return fmt.Sprintf("status %.16q is not that of an answer", e.Status)
}

func invalid(status int) error { return &InvalidError{Status: fmt.Sprintf("%03d", status)} }

// CheckFinal returns an InvalidError unless the status is that of a final answer.
func CheckFinal(status int) error {
	if !IsFinal(status) {
		return invalid(status)
	}
	return nil
}

// CheckInterim returns an InvalidError unless the status is that of an interim answer, which has no body and so neither a
// length nor a transfer coding. net/http takes the codings out of the header.
func CheckInterim(status int, header http.Header, transferEncoding []string) error {
	if !isInterim(status) || header.Get("Content-Length") != "" || len(transferEncoding) > 0 {
		return invalid(status)
	}
	return nil
}

// CheckLine returns an InvalidError unless the status in a status line is that of an interim or a final answer. A line of
// another form passes: the parser of the answer rejects it.
func CheckLine(line []byte) error {
	if _, invalid := checkLine(line); invalid != nil {
		return invalid
	}
	return nil
}

// checkLine also returns the status, which is zero for a line of another form.
func checkLine(line []byte) (status int, invalid *InvalidError) {
	_, rest, hasStatus := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(" "))
	if !hasStatus {
		return 0, nil
	}
	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	for _, b := range text {
		if b < '0' || b > '9' || len(text) != digits {
			return 0, &InvalidError{Status: string(text)}
		}
		status = 10*status + int(b-'0')
	}
	if !isInterim(status) && !IsFinal(status) {
		return 0, &InvalidError{Status: string(text)}
	}
	return status, nil
}
