// Package docfile reads and writes service and fleet documents as TOML.
//
// Unknown keys are refused. Every error names the source, the key and the remedy.
package docfile
