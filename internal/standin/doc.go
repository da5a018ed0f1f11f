// Package standin holds stand-ins for the systems around fuchsiahub: backend servers and the platform's object API.
//
// Tests, the demo and experiments use them. Switches inject the failures that occur in the real systems.
package standin
