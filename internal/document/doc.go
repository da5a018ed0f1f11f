// Package document holds the documents by which operators drive the system: one Service per service and one Fleet.
//
// The types carry defaults and checks but no encoding; package docfile reads and writes them as TOML. A document
// that is in force is never modified. Defaults are safe: a route that says nothing is not idempotent and is not
// retried.
package document
