// Package decide contains the decision packages. Each is pure: it takes state and a message and returns new state and
// effects, with time and randomness passed in. None imports HTTP, RPC, TOML or operating system packages, directly or
// indirectly; a test in this folder checks that.
package decide
