package gateway

import (
	"log/slog"

	"fuchsiahub.example/fuchsiahub/internal/backend"
)

// reportForeignAnswers logs and counts the foreign answers that a backend server sent. The request is empty for a health check.
func reportForeignAnswers(log *slog.Logger, counters *counters, server, request string, r backend.Result) {
	if r.ForeignAnswers == 0 {
		return
	}
	counters.foreignAnswers.Inc(int64(r.ForeignAnswers))
	log.Warn("backend server sent foreign answers", "request", request, "backend", server, "answers", r.ForeignAnswers,
		"fate", r.Fate.String(), "error", r.Err)
}
