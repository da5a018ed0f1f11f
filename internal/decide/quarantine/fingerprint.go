package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"strconv"

	"fuchsiahub.example/fuchsiahub/internal/call"
)

// Fingerprint identifies equal requests.
type Fingerprint [16]byte

// maxBodyBytes is the number of leading bytes of a body that the fingerprint covers.
const maxBodyBytes = 64 << 10

// FingerprintOf returns the fingerprint of a request, keyed by the secret.
func FingerprintOf(secret []byte, req *call.Request) Fingerprint {
	var f Fingerprint
	mac := hmac.New(sha256.New, secret)
	for _, field := range []string{"fingerprint", req.Service, req.Tenant, req.Method, req.Path, req.Query} {
		writeField(mac, field)
	}
	mac.Write(req.Body[:min(len(req.Body), maxBodyBytes)])
	copy(f[:], mac.Sum(nil))
	return f
}

// writeField prefixes the text with its length, so that different lists of fields never hash the same bytes.
func writeField(to hash.Hash, text string) {
	to.Write([]byte(strconv.Itoa(len(text)) + ":" + text))
}
