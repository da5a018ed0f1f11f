// Package fault defines the typed errors of fuchsiahub.
//
// Every error that reaches a caller, an operator or a peer has a Kind, a message that says what happened and a
// remedy that says what to do about it. The package uses only the standard library, so that decision packages can
// return these errors without reaching HTTP or RPC code through their imports.
package fault
