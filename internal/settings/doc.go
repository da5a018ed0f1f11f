// Package settings reads the static settings of a daemon from TOML.
//
// Settings say where an instance runs and what it may use; they hold until the daemon is started again. What may
// change while it runs stands in documents. Unknown keys are refused. Every error names the source, the key, the
// value and the remedy.
package settings
