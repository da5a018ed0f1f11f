// Package instanceobject reads and writes objects of kind instances: one JSON record per instance in the platform's
// list.
//
// The list lags: a record tells where an instance was, not that it lives.
package instanceobject
