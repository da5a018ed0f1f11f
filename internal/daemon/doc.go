// Package daemon builds the tasks of one instance from its settings, runs them and stops them.
//
// It decides nothing: it connects the tasks of package node with the front end, the operations side, the peer
// transport and the object API. A graceful stop follows charts/instance.toml and cuts no request within its bound.
package daemon
