package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"strconv"

	"fuchsiahub.example/fuchsiahub/internal/call"
)

// Fingerprint identifies requests that are equal.
type Fingerprint [16]byte

// maxBodyBytes is how much of a body enters the fingerprint.
const maxBodyBytes = 64 << 10

// Of returns the keyed fingerprint of a request.
func Of(secret []byte, req *call.Request) Fingerprint {
	var f Fingerprint
	mac := hmac.New(sha256.New, secret)
	for _, field := range []string{"fingerprint", req.Service, req.Tenant, req.Method, req.Path, req.Query} {
		writeField(mac, field)
	}
	mac.Write(req.Body[:min(len(req.Body), maxBodyBytes)])
	copy(f[:], mac.Sum(nil))
	return f
}

// writeField writes the length before the text, so that no two lists of fields have the same fingerprint.
func writeField(to hash.Hash, text string) {
	to.Write([]byte(strconv.Itoa(len(text)) + ":" + text))
}
