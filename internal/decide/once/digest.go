package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"strconv"

	"fuchsiahub.example/fuchsiahub/internal/call"
)

// Digest identifies a once-only request without disclosing its idempotency key.
type Digest [16]byte

// ContentDigest is a keyed digest of a request's content. It detects that an idempotency key is reused for a different
// request. 64 bits are enough, because it is compared with one other value only.
type ContentDigest [8]byte

// DigestOf returns the keyed digest of a request's service, tenant and idempotency key.
func DigestOf(secret []byte, service, tenant, key string) Digest {
	var d Digest
	mac := hmac.New(sha256.New, secret)
	writeField(mac, "once")
	writeField(mac, service)
	writeField(mac, tenant)
	writeField(mac, key)
	copy(d[:], mac.Sum(nil))
	return d
}

// ContentDigestOf returns the keyed digest of what must be equal in a resend: method, path, query and body.
func ContentDigestOf(secret []byte, req *call.Request) ContentDigest {
	var c ContentDigest
	mac := hmac.New(sha256.New, secret)
	writeField(mac, "check")
	writeField(mac, req.Method)
	writeField(mac, req.Path)
	writeField(mac, req.Query)
	mac.Write(req.Body)
	copy(c[:], mac.Sum(nil))
	return c
}

// writeField prefixes the text with its length, so that different lists of fields never hash the same bytes.
func writeField(to hash.Hash, text string) {
	to.Write([]byte(strconv.Itoa(len(text)) + ":" + text))
}
