// Package fleet defines an instance's view of its deployment: the configuration in force, the registered backend servers,
// the availability zones that are taken out, and the other instances.
//
// Values are immutable once published: a task that receives an update builds a new View and shares it by pointer. The
// package contains no encodings and is independent of the platform's naming.
package fleet
