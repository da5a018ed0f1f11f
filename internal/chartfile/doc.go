// Package chartfile reads state charts from TOML files and keeps the line of each part for error messages.
package chartfile
