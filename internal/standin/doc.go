// Package standin holds stand-ins for what surrounds fuchsiahub: backend servers and the platform's object API.
//
// They serve tests, the demo and experiments. They can be told to fail in the ways that the real ones do.
package standin
