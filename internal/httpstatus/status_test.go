package httpstatus_test

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/httpstatus"
)

// Guards against a status outside of 100 to 599 that counts as an answer, and an interim status that nobody may send.
func TestEveryStatus(t *testing.T) {
	interim := []int{100, 102, 103}
	for status := range 1000 {
		isInterim, isFinal := slices.Contains(interim, status), status >= 200 && status < 600
		line := fmt.Sprintf("HTTP/1.1 %03d Reason\r", status)
		for name, c := range map[string]struct {
			err  error
			want bool
		}{
			"line": {httpstatus.CheckLine([]byte(line)), isInterim || isFinal}, "final": {httpstatus.CheckFinal(status), isFinal},
			"interim": {httpstatus.CheckInterim(status, nil, nil), isInterim},
		} {
			var invalid *httpstatus.InvalidError
			if (c.err == nil) != c.want || c.err != nil && (!errors.As(c.err, &invalid) || invalid.Status != fmt.Sprintf("%03d", status)) {
				t.Errorf("%s of %03d: %v, valid: %t", name, status, c.err, c.want)
			}
		}
	}
}

// Guards against texts in the place of a status that count as one.
func TestStatusesThatAreNoNumber(t *testing.T) {
	for line, valid := range map[string]bool{
		"HTTP/1.1 200": true, "HTTP/1.1  200 OK": true, "HTTP/1.1": true, // the parser rejects the last one
		"HTTP/1.1 +20 OK": false, "HTTP/1.1 -20 OK": false, "HTTP/1.1 2e2 OK": false, "HTTP/1.1 2000 OK": false, "HTTP/1.1 20 OK": false,
		"HTTP/1.1 ٢٠٠ OK": false, "HTTP/1.1 20\x00 OK": false, "HTTP/1.1 99999999999999999999 OK": false,
	} {
		if err := httpstatus.CheckLine([]byte(line)); (err == nil) != valid {
			t.Errorf("%q: %v, valid: %t", line, err, valid)
		}
	}
}

// Guards against an interim answer whose body would be read as the answer.
func TestInterimAnswersHaveNoBody(t *testing.T) {
	length := http.Header{"Content-Length": {"0"}}
	if httpstatus.CheckInterim(103, length, nil) == nil || httpstatus.CheckInterim(103, nil, []string{"chunked"}) == nil {
		t.Error("an interim answer with a body is valid")
	}
}
