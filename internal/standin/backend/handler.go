package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// maxBody is the maximum number of bytes that are read of a request body.
const maxBody = 64 << 20

// HeaderName carries the name of the server that answered.
const HeaderName = "Standin-Name"

// HeaderRan carries how long the request ran at the server, in microseconds.
const HeaderRan = "Standin-Ran-Us"

// handler serves the requests of one incarnation of a server. Each request runs on a goroutine of net/http, which holds
// no state.
//
// The answer echoes the body of the request, or its method and target when it has no body. The paths /health,
// /standin/switches (PUT), /standin/report (GET) and /standin/crash (POST) occupy no slot.
type handler struct {
	server      *Server
	incarnation int
}

func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case document.DefaultProbePath:
		h.probe(w, r)
	case "/standin/switches":
		h.setSwitches(w, r)
	case "/standin/report":
		report, err := h.server.Report(r.Context())
		writeJSON(w, report, err)
	case "/standin/crash":
		_ = h.server.Crash(r.Context()) // the crash closes the connection
	default:
		h.serveRequest(w, r)
	}
}

func (h *handler) probe(w http.ResponseWriter, r *http.Request) {
	status, err := task.AskUntil(r.Context(), h.server.ended, h.server.inbox, func(reply chan<- serverStatus) any { return probeRequest{reply: reply} })
	h.setStatusHeaders(w, status)
	writeJSON(w, map[string]string{"state": status.state, "load": status.load}, err)
}

func (h *handler) setSwitches(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&switches)
	if err == nil {
		err = h.server.Set(r.Context(), switches)
	}
	writeJSON(w, switches, err)
}

func writeJSON(w http.ResponseWriter, value any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // a failed write means that the caller has disconnected
}

func (h *handler) setStatusHeaders(w http.ResponseWriter, status serverStatus) {
	header := w.Header()
	header.Set(HeaderName, h.server.state.options.Name)
	header.Set(backend.HeaderLoad, status.load)
	header.Set(backend.HeaderState, status.state)
	header.Set(backend.HeaderIncarnation, status.incarnation)
}

func (h *handler) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler) // the caller has disconnected
	}
	ctx, cancel := withCallerDeadline(r)
	defer cancel()
	slot, ok := h.requestSlot(ctx, r.Header.Get(document.DefaultKeyHeader), body)
	if !ok {
		h.answerTimeout(w, r)
		return
	}
	switch slot.outcome {
	case run:
		h.run(ctx, w, r, slot, body)
	case shed:
		h.setStatusHeaders(w, slot.status)
		w.Header().Set(backend.HeaderNotRun, "true")
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
	default:
		h.setStatusHeaders(w, slot.status)
		http.Error(w, "the request failed", http.StatusInternalServerError)
	}
}

// withCallerDeadline applies the timeout that the caller gave in a header, if any.
func withCallerDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get(backend.HeaderTimeout))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// answerTimeout answers a request whose deadline has passed. It aborts the request when the caller has disconnected.
func (h *handler) answerTimeout(w http.ResponseWriter, r *http.Request) {
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, "the deadline has passed", http.StatusGatewayTimeout)
}

// requestSlot requests a slot. It returns false when the caller has disconnected or the deadline has passed first.
func (h *handler) requestSlot(ctx context.Context, key string, body []byte) (slotReply, bool) {
	reply := make(chan slotReply, 1)
	if !h.server.inbox.SendUntil(h.server.ended, slotRequest{key: key, body: body, incarnation: h.incarnation, reply: reply}) {
		panic(http.ErrAbortHandler) // the server has ended
	}
	select {
	case slot := <-reply:
		return slot, true
	case <-ctx.Done():
		h.server.inbox.SendUntil(h.server.ended, abandonRequest{incarnation: h.incarnation, waiter: reply})
		return slotReply{}, false
	}
}

func (h *handler) run(ctx context.Context, w http.ResponseWriter, r *http.Request, slot slotReply, body []byte) {
	start := time.Now()
	finished := task.Pause(ctx, slot.serviceTime)
	ran := time.Since(start)
	status, err := task.AskUntil(context.WithoutCancel(ctx), h.server.ended, h.server.inbox, func(reply chan<- serverStatus) any { return endRequest{incarnation: h.incarnation, reply: reply} })
	if err != nil {
		panic(http.ErrAbortHandler) // the server has ended
	}
	if !finished {
		h.answerTimeout(w, r)
		return
	}
	if len(body) == 0 {
		body = []byte(r.Method + " " + r.URL.RequestURI())
	}
	h.setStatusHeaders(w, status)
	w.Header().Set(HeaderRan, strconv.FormatInt(ran.Microseconds(), 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if slot.truncate {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body) // a failed write means that the caller has disconnected
	if slot.truncate {
		_ = http.NewResponseController(w).Flush() // the connection is closed next
		panic(http.ErrAbortHandler)
	}
}
