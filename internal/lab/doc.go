// Package lab compares load balancing policies by simulation.
//
// A run drives the decision code of packages balance, admit and retry in virtual time, with Poisson arrivals, servers that
// queue requests when their slots are busy, network delays and stale load reports. All policies are given the same
// arrivals and service times, which depend on the seed. The simulation does not cover the whole system: instances do not
// fail, messages are not lost, and keepers are a simplified implementation of the rules in section 5 of the design.
// BenchmarkAddedTime of package node measures in real time over loopback.
package lab
