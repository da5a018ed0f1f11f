// Package docfile decodes and encodes documents as TOML: services, the fleet, instances and lists of backend servers.
//
// Unknown keys are rejected. Every error contains the source and a remedy, and the key where it is known.
package docfile
