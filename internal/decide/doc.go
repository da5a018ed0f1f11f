// Package decide is the folder of decision packages. Each holds pure code: state and a message in, new state and
// effects out, with time and randomness passed in. None reaches HTTP, RPC, TOML or the operating system through its
// imports; a test in this folder checks that.
package decide
