// Package demo shows a small fleet at work in one process on loopback: three instances, the stand-in object API and the
// stand-in backend servers of an example deployment, under a bounded load, with a zone that is taken out and back, a
// backend server that leaves and an instance that stops.
package demo
