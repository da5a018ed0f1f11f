// Package fault defines the typed errors of fuchsiahub.
//
// Every error that reaches a caller, an operator or a peer has a Kind, a message that describes the problem and a remedy
// that describes what to do about it. The package uses only the standard library, so that decision packages can return
// these errors without importing HTTP or RPC code.
package fault
