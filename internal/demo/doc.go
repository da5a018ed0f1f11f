// Package demo runs a small fleet in one process on loopback: three instances, the stand-in object API and the stand-in
// backend servers of an example deployment. Under a limited load, it takes a zone out of service and brings it back,
// drains a backend server and stops an instance.
package demo
