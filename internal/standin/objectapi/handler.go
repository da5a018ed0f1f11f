package objectapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/objecthttp"
)

const (
	// bookmarkInterval is the interval at which an idle watch sends a bookmark line, so that its reader can tell an open
	// connection from a dead one.
	bookmarkInterval = 10 * time.Second
	// maxWriteBytes is the size limit of a request body. It is enough for the largest value in base64.
	maxWriteBytes = 2 << 20
)

// Handler serves a store over HTTP with the protocol of package objecthttp. GET and PUT at /standin/switches read and
// set the switches, POST at /standin/cut-watches ends all watches, and GET at /standin/counts returns Counts.
func Handler(s *Store) http.Handler {
	h := &handler{store: s}
	r := chi.NewRouter()
	r.Get(objecthttp.PathPrefix+"{kind}", h.list)
	r.Get(objecthttp.PathPrefix+"{kind}/{name}", h.get)
	r.Post(objecthttp.PathPrefix+"{kind}/{name}", h.create)
	r.Put(objecthttp.PathPrefix+"{kind}/{name}", h.update)
	r.Delete(objecthttp.PathPrefix+"{kind}/{name}", h.remove)
	r.Get("/standin/switches", h.getSwitches)
	r.Put("/standin/switches", h.setSwitches)
	r.Post("/standin/cut-watches", h.cutWatches)
	r.Get("/standin/counts", h.counts)
	return r
}

type handler struct{ store *Store }

func kindOf(r *http.Request) objectapi.Kind { return objectapi.Kind(chi.URLParam(r, "kind")) }

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	object, err := h.store.Get(r.Context(), kindOf(r), chi.URLParam(r, "name"))
	writeResult(w, http.StatusOK, objecthttp.ItemOf(object), err)
}

func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "true" {
		h.watch(w, r)
		return
	}
	objects, version, err := h.store.List(r.Context(), kindOf(r))
	list := objecthttp.List{Version: version, Objects: []objecthttp.Item{}}
	for _, o := range objects {
		list.Objects = append(list.Objects, objecthttp.ItemOf(o))
	}
	writeResult(w, http.StatusOK, list, err)
}

func (h *handler) create(w http.ResponseWriter, r *http.Request) {
	value, err := readValue(w, r)
	if err != nil {
		writeResult(w, 0, nil, err)
		return
	}
	object, err := h.store.Create(withoutCancel(r), kindOf(r), chi.URLParam(r, "name"), value)
	writeResult(w, http.StatusCreated, objecthttp.ItemOf(object), err)
}

func (h *handler) update(w http.ResponseWriter, r *http.Request) {
	value, err := readValue(w, r)
	if err != nil {
		writeResult(w, 0, nil, err)
		return
	}
	version, err := queryNumber(r, "version")
	if err != nil {
		writeResult(w, 0, nil, err)
		return
	}
	object, err := h.store.Update(withoutCancel(r), kindOf(r), chi.URLParam(r, "name"), version, value)
	writeResult(w, http.StatusOK, objecthttp.ItemOf(object), err)
}

func (h *handler) remove(w http.ResponseWriter, r *http.Request) {
	version, err := queryNumber(r, "version")
	if err == nil {
		err = h.store.Delete(withoutCancel(r), kindOf(r), chi.URLParam(r, "name"), version)
	}
	writeResult(w, http.StatusNoContent, nil, err)
}

// withoutCancel returns a context that outlives the request. A write is completed even if its caller disconnects, as it is
// by the platform.
func withoutCancel(r *http.Request) context.Context { return context.WithoutCancel(r.Context()) }

func readValue(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	var body objecthttp.Write
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxWriteBytes)).Decode(&body); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "send {\"value\": base64}", "body is not valid")
	}
	return body.Value, nil
}

func queryNumber(r *http.Request, key string) (uint64, error) {
	n, err := strconv.ParseUint(r.URL.Query().Get(key), 10, 64)
	if err != nil {
		return 0, fault.New(fault.Invalid, "send a whole number", "parameter %q is not valid", key)
	}
	return n, nil
}

var statuses = map[fault.Kind]int{
	fault.NotFound: http.StatusNotFound,
	fault.Conflict: http.StatusConflict,
	fault.TooOld:   http.StatusGone,
	fault.Invalid:  http.StatusBadRequest,
}

// writeResult writes the result of a call. When the store is unavailable or the answer is lost, it closes the connection
// instead.
func writeResult(w http.ResponseWriter, status int, body any, err error) {
	if fault.Is(err, fault.AmbiguousWrite) || fault.Is(err, fault.StoreUnavailable) {
		panic(http.ErrAbortHandler) // the server closes the connection
	}
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		e := fault.As(err)
		status = statuses[e.Kind]
		body = objecthttp.Problem{Reason: string(e.Kind), Message: e.Message}
	}
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // a failed write means that the caller has disconnected
	}
}

func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	after, err := queryNumber(r, "after")
	if err != nil {
		writeResult(w, 0, nil, err)
		return
	}
	watch, err := h.store.Watch(r.Context(), kindOf(r), after)
	if err != nil {
		writeResult(w, 0, nil, err)
		return
	}
	defer func() { _ = watch.Close() }() // Close has no error to report
	w.Header().Set("Content-Type", "application/jsonl")
	w.WriteHeader(http.StatusOK)
	for line := (objecthttp.Line{Type: objecthttp.LineBookmark}); ; {
		if !writeLine(w, line) {
			return
		}
		if line, err = nextLine(r.Context(), watch); err != nil {
			panic(http.ErrAbortHandler) // the server closes the connection
		}
	}
}

func writeLine(w http.ResponseWriter, line objecthttp.Line) bool {
	if err := json.NewEncoder(w).Encode(line); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// nextLine returns the next change, or a bookmark when there is none within bookmarkInterval.
func nextLine(ctx context.Context, watch objectapi.Watch) (objecthttp.Line, error) {
	bookmarkCtx, cancel := context.WithTimeout(ctx, bookmarkInterval)
	defer cancel()
	event, err := watch.Next(bookmarkCtx)
	if err != nil && bookmarkCtx.Err() != nil && ctx.Err() == nil {
		return objecthttp.Line{Type: objecthttp.LineBookmark}, nil
	}
	line := objecthttp.Line{Type: objecthttp.LinePut, Object: objecthttp.ItemOf(event.Object)}
	if event.Deleted {
		line.Type = objecthttp.LineDeleted
	}
	return line, err
}

func (h *handler) getSwitches(w http.ResponseWriter, r *http.Request) {
	switches, err := h.store.Switches(r.Context())
	writeResult(w, http.StatusOK, switches, err)
}

func (h *handler) setSwitches(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxWriteBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&switches); err != nil {
		writeResult(w, 0, nil, fault.Wrap(err, fault.Invalid, "send the switches as JSON", "switches are not valid"))
		return
	}
	writeResult(w, http.StatusOK, switches, h.store.Set(r.Context(), switches))
}

func (h *handler) cutWatches(w http.ResponseWriter, r *http.Request) {
	writeResult(w, http.StatusNoContent, nil, h.store.CutWatches(r.Context()))
}

func (h *handler) counts(w http.ResponseWriter, r *http.Request) {
	counts, err := h.store.Counts(r.Context())
	writeResult(w, http.StatusOK, counts, err)
}
