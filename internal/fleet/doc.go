// Package fleet holds what an instance believes about its deployment: the configuration in force, the backend servers
// that registered, the availability zones that are taken out, and the other instances.
//
// The types are immutable once published: a task that learns something new builds a new View and shares it by pointer.
// The package holds no encoding and no names of a platform.
package fleet
