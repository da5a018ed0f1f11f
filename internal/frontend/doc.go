// Package frontend translates between the HTTP requests of callers and transport-neutral requests.
//
// It makes no decisions about servers, retries or limits. Every answer that does not come from a backend server has the
// header field Fuchsiahub-Outcome ("not-run", "unknown", or "answered" if the request was already answered earlier), the
// field Fuchsiahub-Reason and a JSON body with the remedy.
package frontend
