// Package tomlfile decodes TOML strictly, for documents and settings.
//
// It refuses unknown keys and oversized texts. Every error is of kind fault.Invalid and names the source, the line,
// the key and the remedy.
package tomlfile
