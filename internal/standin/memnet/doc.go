// Package memnet is an in-memory network for tests in virtual time: a listener and a dialer over net.Pipe.
//
// It has no addresses and no buffers: a write blocks until it is read.
package memnet
