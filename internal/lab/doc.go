// Package lab compares balancing policies by experiment.
//
// A run in virtual time drives the decision code of balance, admit and retry with Poisson arrivals, servers that queue
// behind their slots, link delays and stale reports. Every policy of a run sees the same arrivals and the same service
// times, from one seed. It is no cluster simulator: instances do not fail, messages are not lost, and a keeper is a
// stand-in with the rules of section 5 of the design. BenchmarkAddedTime of package node measures in real time over
// loopback.
package lab
