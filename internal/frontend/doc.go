// Package frontend takes HTTP requests of callers and passes them on as transport-neutral requests.
//
// It decides nothing about servers, retries or limits. Every answer that is not from a backend server carries
// Fuchsiahub-Outcome ("not-run" or "unknown"), Fuchsiahub-Reason and a JSON body with the remedy.
package frontend
