// Package memnet is a network in memory for tests in virtual time: a listener and a dialer over net.Pipe.
//
// It has no addresses and no buffers: a write waits for its reader.
package memnet
