package objecthttp_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/objecthttp"
	"fuchsiahub.example/fuchsiahub/internal/standin/memnet"
)

// withAnswer runs a test in virtual time with a client of a platform that answers each call with a text and then stays silent.
func withAnswer(t *testing.T, text string, test func(t *testing.T, client *objecthttp.Client)) {
	synctest.Test(t, func(t *testing.T) {
		listener := memnet.Listen()
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = conn.Close() }()
					for reader := bufio.NewReader(conn); ; {
						request, err := http.ReadRequest(reader)
						if err != nil {
							return // the client has closed the connection
						}
						_, _ = io.Copy(io.Discard, request.Body) // the next read shows an error
						_, _ = io.WriteString(conn, text)        // the client may have closed the connection
					}
				}()
			}
		}()
		client := objecthttp.New("127.0.0.1:1", listener.Dial)
		test(t, client)
		client.Close()
		_ = listener.Close()
		synctest.Wait()
	})
}

// Guards against a status that is none which says what became of a write, is taken for an answer, or holds a call until its
// time is over.
func TestInvalidStatusOfObjectAPI(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "150", "199", "600", "999", "+20", "-00", "20", "2000", "OK"} {
		for name, rest := range map[string]string{
			"refusal in the body": "Content-Length: 24\r\n\r\n{\"reason\":\"unavailable\"}",
			"object in the body":  "Content-Length: 41\r\n\r\n{\"kind\":\"fleet\",\"name\":\"a\",\"version\":\"9\"} ",
			"open body":           "Content-Length: 100\r\n\r\n{",
			"answer behind it":    "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		} {
			t.Run(status+", "+name, func(t *testing.T) {
				withAnswer(t, "HTTP/1.1 "+status+" X\r\n"+rest, func(t *testing.T, client *objecthttp.Client) {
					start := time.Now()
					_, err := client.Get(t.Context(), objectapi.Fleet, "a")
					wantKind(t, err, fault.StoreUnavailable)
					_, _, err = client.List(t.Context(), objectapi.Fleet)
					wantKind(t, err, fault.StoreUnavailable)
					_, err = client.Create(t.Context(), objectapi.Fleet, "a", []byte("{}"))
					wantKind(t, err, fault.AmbiguousWrite)
					_, err = client.Update(t.Context(), objectapi.Fleet, "a", 1, []byte("{}"))
					wantKind(t, err, fault.AmbiguousWrite)
					wantKind(t, client.Delete(t.Context(), objectapi.Fleet, "a", 1), fault.AmbiguousWrite)
					_, err = client.Watch(t.Context(), objectapi.Fleet, 1)
					wantKind(t, err, fault.StoreUnavailable)
					if elapsed := time.Since(start); elapsed > 0 {
						t.Errorf("the calls ended after %s", elapsed)
					}
				})
			})
		}
	}
}

// Guards against a write that counts as not made by an answer that doesn't promise it.
func TestStatusesThatPromiseNoEffect(t *testing.T) {
	const unavailable, otherReason = `{"reason":"unavailable"}`, `{"reason":"overload..."}`
	for _, c := range []struct {
		status, body string
		want         fault.Kind
	}{
		{"429", otherReason, fault.StoreUnavailable},
		{"503", unavailable, fault.StoreUnavailable},
		{"503", otherReason, fault.AmbiguousWrite},
		{"500", unavailable, fault.AmbiguousWrite},
		{"302", unavailable, fault.AmbiguousWrite},
		{"599", unavailable, fault.AmbiguousWrite},
	} {
		t.Run(c.status+" "+c.body, func(t *testing.T) {
			withAnswer(t, "HTTP/1.1 "+c.status+" X\r\nContent-Length: 24\r\n\r\n"+c.body, func(t *testing.T, client *objecthttp.Client) {
				wantKind(t, client.Delete(t.Context(), objectapi.Fleet, "a", 1), c.want)
			})
		})
	}
}
