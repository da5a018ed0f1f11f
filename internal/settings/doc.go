// Package settings reads the static settings of a daemon from TOML.
//
// Settings define where an instance runs and which resources it may use. They apply until the daemon restarts;
// configuration that may change at run time is kept in documents. Unknown keys are refused. Every error gives the
// source, the key, the value and a remedy.
package settings
