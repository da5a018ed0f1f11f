// Package tomlfile decodes TOML strictly, for documents and settings.
//
// It rejects unknown keys and oversized texts. Every error is of kind fault.Invalid and contains the source and a remedy,
// and the line and the key where they are known.
package tomlfile
