// Package httpstatus decides which statuses of HTTP answers are valid (RFC 9110, section 15).
//
// A message with another status is no answer: what it is about is unknown, and the bytes behind it belong to nothing. So the
// exchange ends with the status, and its connection with it.
package httpstatus
