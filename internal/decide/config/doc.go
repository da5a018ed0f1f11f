// Package config decides which version of each configuration document is in force at one instance.
//
// The version of a document in force only increases: older reads, stale lists and copies from peers never replace a later
// version or a deletion. The package does not decode documents; the caller says whether a value is valid. It relies on the
// object API to assign versions that increase over all objects of a kind. A store that was restored from an older state is
// therefore ignored until its versions exceed those already seen.
package config
