// Package memory bounds the memory that the requests of all callers take together.
//
// A process that exceeds the memory of its machine is killed, with the requests of all callers. So a request takes the bytes of
// its body from a budget before they are read, and is refused as not run if they are not left.
package memory
