// Package metric names the measurements of an instance and their units, and writes them as text.
//
// It builds on rcrowley/go-metrics, whose types are safe for concurrent use and hold locks inside. docs/metrics.md
// lists every name. A name is never built from what callers send, so the number of metrics is bounded by the number of
// services.
package metric
