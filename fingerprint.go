package bergamotgrade

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is the length of a fingerprint before it is written in hexadecimal.
const fingerprintBytes = 16

// Fingerprint returns an id that a request has in common with its repeats: the requests of
// the same team with the same method, host, target and body. A caller cannot find a request
// with the fingerprint of another team's.
func Fingerprint(team, method, host, target string, body []byte) string {
	digest := sha256.New()
	var length [8]byte
	for _, field := range []string{team, method, host, target} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = digest.Write(length[:])
		_, _ = digest.Write([]byte(field))
	}
	_, _ = digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil)[:fingerprintBytes])
}
