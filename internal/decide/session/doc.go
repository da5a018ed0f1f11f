// Package session decides whether an instance may act as keeper: it holds a session lease in the object API.
//
// Holder is the instance's own session, Witness its role for the sessions of others, Observer its view of sessions
// that may be dead. The package promises that a session is fenced only after its holder has lost its authority by its
// own clock. It encodes nothing and calls nobody: it returns the calls that are due and takes their results.
//
// Limits: clocks may run apart by a tenth; wall clocks are never compared. The monotonic clock must go on while a
// process is paused, so a suspended virtual machine must not stop it. One name belongs to one running process.
package session
