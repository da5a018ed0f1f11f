// Package session decides whether an instance may act as keeper, which requires a session lease in the object API.
//
// Holder maintains the instance's own session, Witness acknowledges the sessions of other instances, and Observer
// finds sessions whose holder may be dead. A session is fenced only after its holder's authority has expired on the
// holder's own clock. The package does no I/O and no encoding: it returns the calls that are due and processes their
// results.
//
// Assumptions: the clock rates of two instances differ by at most a tenth; wall clocks are never compared. The
// monotonic clock keeps running while a process is paused, also in a suspended virtual machine. Only one running
// process uses an instance name.
package session
