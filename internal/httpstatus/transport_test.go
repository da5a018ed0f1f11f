package httpstatus_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/httpstatus"
)

// Guards against a call that waits, or reads on, behind a status that is none, and against a connection that is used again.
func TestTransportEndsAtInvalidStatus(t *testing.T) {
	const following = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for _, status := range []string{"000", "020", "099", "101", "104", "150", "199", "600", "999", "-00"} {
		for name, rest := range map[string]string{
			"silence": "Content-Length: 100\r\n\r\n", "answer behind it": "\r\n" + following, "complete": "Content-Length: 0\r\n\r\n",
			"open head": "A: b\r\n", "answer behind a complete one": "Content-Length: 0\r\n\r\n" + following,
		} {
			t.Run(status+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					closed := make(chan struct{})
					base := &http.Transport{MaxResponseHeaderBytes: 1 << 10, DialContext: func(context.Context, string, string) (net.Conn, error) {
						client, server := net.Pipe()
						go func() {
							defer close(closed)
							reader := bufio.NewReader(server)
							if _, err := http.ReadRequest(reader); err != nil {
								return
							}
							_, _ = io.WriteString(server, "HTTP/1.1 "+status+" X\r\n"+rest) // the client may have closed the connection
							_, _ = reader.ReadByte()                                        // returns when it has
						}()
						return client, nil
					}}
					start := time.Now()
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://store/", nil)
					if err != nil {
						t.Fatal(err)
					}
					_, err = httpstatus.NewTransport(base).RoundTrip(request)
					var invalid *httpstatus.InvalidError
					if !errors.As(err, &invalid) {
						t.Errorf("error %v", err)
					}
					<-closed
					if elapsed := time.Since(start); elapsed > 0 {
						t.Errorf("the call ended after %s", elapsed)
					}
				})
			})
		}
	}
}

// Guards against a call that fails because interim answers come before its answer.
func TestTransportSkipsInterimAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		base := &http.Transport{MaxResponseHeaderBytes: 1 << 10, DialContext: func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				defer func() { _ = server.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
					_, _ = io.WriteString(server, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"+ // the client
						"HTTP/1.1 204 Done\r\nConnection: close\r\n\r\n") // may have closed the connection
				}
			}()
			return client, nil
		}}
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://store/", nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := httpstatus.NewTransport(base).RoundTrip(request)
		if err != nil || response.StatusCode != http.StatusNoContent {
			t.Fatalf("got %+v, %v", response, err)
		}
		_ = response.Body.Close()
	})
}
