// Package metric registers the metrics of an instance and writes them as text.
//
// It uses rcrowley/go-metrics, whose types are safe for concurrent use because they lock internally. docs/metrics.md lists
// every name with its unit. A name never contains input of callers, so that the number of services bounds the number of
// metrics.
package metric
