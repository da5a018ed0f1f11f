// Package document defines the documents that operators write to configure the system: one Service document for each
// service and one Fleet document.
//
// The types have defaults and checks but no encoding; package docfile reads and writes them as TOML. A document that is in
// force is never modified. Defaults are safe: a route is not idempotent unless it is declared so, and its requests are
// not sent again once they may have run.
package document
