// Package chartfile decodes state charts from TOML files and records line numbers for error messages.
package chartfile
