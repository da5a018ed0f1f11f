package frontend_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/frontend"
)

type fakeServer struct {
	received *call.Request
	answer   *call.Answer
	err      error
}

func (f *fakeServer) MaxBody(service string) (int64, error) {
	if service != "intake" {
		return 0, fault.New(fault.UnknownService, "name a service", "no document").MarkNotRun(0)
	}
	return 8, nil
}

func (f *fakeServer) Do(_ context.Context, req *call.Request) (*call.Answer, error) {
	f.received = req
	return f.answer, f.err
}

func send(t *testing.T, server frontend.Server, change func(*http.Request)) *http.Response {
	t.Helper()
	front := httptest.NewServer(frontend.NewHandler(server, func() string { return "id-7" }))
	t.Cleanup(front.Close)
	req, err := http.NewRequest("POST", front.URL+"/reports?x=1", strings.NewReader("report"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(frontend.HeaderService, "intake")
	change(req)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// Guards against invalid input that makes the handler panic, or that is refused without a remedy or without the outcome
// "not-run".
func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	cases := []struct {
		name   string
		change func(*http.Request)
		status int
		kind   fault.Kind
	}{
		{"unknown service", func(r *http.Request) { r.Header.Set(frontend.HeaderService, "nothing") }, 404, fault.UnknownService},
		{"large body", func(r *http.Request) { r.Body, r.ContentLength = io.NopCloser(strings.NewReader("123456789")), 9 }, 413, fault.TooLarge},
		{"large body of unknown length", func(r *http.Request) { r.Body, r.ContentLength = io.NopCloser(strings.NewReader("123456789")), -1 }, 413, fault.TooLarge},
		{"timeout without number", func(r *http.Request) { r.Header.Set("Fuchsiahub-Timeout-Ms", "soon") }, 400, fault.BadRequest},
		{"negative timeout", func(r *http.Request) { r.Header.Set("Fuchsiahub-Timeout-Ms", "-1") }, 400, fault.BadRequest},
		{"negative hops", func(r *http.Request) { r.Header.Set("Fuchsiahub-Hops", "-1") }, 400, fault.BadRequest},
		{"retries without number", func(r *http.Request) { r.Header.Set("Fuchsiahub-Retries-Left", "x") }, 400, fault.BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := &fakeServer{answer: &call.Answer{Status: 200}}
			resp := send(t, server, c.change)
			var body struct {
				Kind      fault.Kind
				Message   string
				Remedy    string
				RequestID string `json:"request_id"`
				NotRun    bool   `json:"not_run"`
			}
			if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != c.status || body.Kind != c.kind || !body.NotRun || resp.Header.Get("Fuchsiahub-Outcome") != "not-run" {
				t.Errorf("status %d, body %+v", resp.StatusCode, body)
			}
			if body.Message == "" || body.Remedy == "" || body.RequestID != "id-7" {
				t.Errorf("incomplete refusal %+v", body)
			}
			if server.received != nil {
				t.Error("the request was forwarded")
			}
		})
	}
}

// Guards against an unknown outcome that is reported as not run, and against a missing Retry-After.
func TestOutcomeHeader(t *testing.T) {
	cases := []struct {
		err     error
		outcome string
		retry   string
	}{
		{fault.New(fault.OutcomeUnknown, "check first", "answer lost"), "unknown", ""},
		{fault.New(fault.Overloaded, "later", "full").MarkNotRun(2 * time.Second), "not-run", "2"},
		{fault.New(fault.AlreadyRun, "ask for the result", "it has run"), "answered", ""},
		{errors.New("unexpected"), "unknown", ""},
	}
	for _, c := range cases {
		resp := send(t, &fakeServer{err: c.err}, func(*http.Request) {})
		if got := resp.Header.Get("Fuchsiahub-Outcome"); got != c.outcome || resp.Header.Get("Retry-After") != c.retry {
			t.Errorf("%v: outcome %q, Retry-After %q", c.err, got, resp.Header.Get("Retry-After"))
		}
	}
}

// Guards against hop-by-hop header fields that are forwarded to the backend server, and against lost end-to-end fields.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	server := &fakeServer{answer: &call.Answer{Status: 201, Header: []call.Field{{Name: "X-Place", Value: "1"}}, Body: []byte("done")}}
	resp := send(t, server, func(r *http.Request) {
		r.Header.Set("Connection", "X-Secret")
		r.Header.Set("X-Secret", "1")
		r.Header.Set("X-Kept", "2")
		r.Header.Set("Fuchsiahub-Tenant", "north")
		r.Header.Set("Fuchsiahub-Hops", "3")
	})
	got := server.received
	if got.Method != "POST" || got.Path != "/reports" || got.Query != "x=1" || string(got.Body) != "report" || got.Tenant != "north" || got.Hops != 3 {
		t.Errorf("request %+v", got)
	}
	fields := map[string]string{}
	for _, f := range got.Header {
		fields[f.Name] = f.Value
	}
	if fields["X-Kept"] != "2" || fields["X-Secret"] != "" || fields["Connection"] != "" || fields["Host"] == "" {
		t.Errorf("header %v", fields)
	}
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != 201 || string(body) != "done" || resp.Header.Get("X-Place") != "1" {
		t.Errorf("answer %d %q %v", resp.StatusCode, body, resp.Header)
	}
}

// Guards against a truncated answer that looks complete to the caller, whether the stream breaks before or after the
// response header was sent.
func TestTruncatedStreamBreaksTheCallersConnection(t *testing.T) {
	for _, length := range []int{10, 1 << 20} {
		stream := brokenStream{io.MultiReader(strings.NewReader(strings.Repeat("x", length)), errReader{})}
		server := &fakeServer{answer: &call.Answer{Status: 200, Length: -1, Stream: stream}}
		front := httptest.NewServer(frontend.NewHandler(server, func() string { return "id" }))
		defer front.Close()
		req, _ := http.NewRequest("GET", front.URL+"/", nil)
		req.Header.Set(frontend.HeaderService, "intake")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		defer func() { _ = resp.Body.Close() }()
		if body, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("caller read %d bytes without an error", len(body))
		}
	}
}

type brokenStream struct{ io.Reader }

func (brokenStream) Close() error { return nil }

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }
