package members

import (
	"crypto/hmac"
	"crypto/sha256"
)

// Seal appends the seal to a datagram for the receiver at an address.
func Seal(b, key []byte, receiver string) []byte { return append(b, computeSeal(b, key, receiver)...) }

func computeSeal(b, key []byte, receiver string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(receiver))
	h.Write([]byte{0})
	h.Write(b)
	return h.Sum(nil)[:sealBytes]
}

// unseal returns a datagram without its seal, and reports whether the seal is valid for the receiver.
func unseal(b, key []byte, receiver string) (body []byte, ok bool) {
	if len(b) <= sealBytes || len(b) > MaxDatagramBytes {
		return nil, false
	}
	body = b[:len(b)-sealBytes]
	return body, hmac.Equal(b[len(body):], computeSeal(body, key, receiver))
}
