package vm

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// errSecretMismatch reports a peer that cannot prove knowledge of the shared secret.
var errSecretMismatch = errors.New("the peer does not know the inner secret; give all VMs the same --inner-secret")

// errVersionMismatch reports a peer with another version of the protocol.
var errVersionMismatch = errors.New("the peer uses another version of the inner protocol; upgrade one VM at a time")

// handshakeClient runs the dialing side of the mutual authentication: both sides prove
// knowledge of the secret by an HMAC over both nonces, without sending the secret.
func handshakeClient(conn net.Conn, secret []byte) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	ownNonce := make([]byte, nonceBytes)
	if _, err := rand.Read(ownNonce); err != nil {
		return err
	}
	if _, err := conn.Write(append([]byte{protocolVersion}, ownNonce...)); err != nil {
		return err
	}
	answer := make([]byte, 1+nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return err
	}
	if answer[0] != protocolVersion {
		return errVersionMismatch
	}
	peerNonce, proof := answer[1:1+nonceBytes], answer[1+nonceBytes:]
	if !hmac.Equal(proof, handshakeProof(secret, "server", ownNonce, peerNonce)) {
		return errSecretMismatch
	}
	if _, err := conn.Write(handshakeProof(secret, "client", ownNonce, peerNonce)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// handshakeServer runs the accepting side of the handshake.
func handshakeServer(conn net.Conn, secret []byte) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	hello := make([]byte, 1+nonceBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return err
	}
	if hello[0] != protocolVersion {
		return errVersionMismatch
	}
	peerNonce := hello[1:]
	ownNonce := make([]byte, nonceBytes)
	if _, err := rand.Read(ownNonce); err != nil {
		return err
	}
	answer := append([]byte{protocolVersion}, ownNonce...)
	answer = append(answer, handshakeProof(secret, "server", peerNonce, ownNonce)...)
	if _, err := conn.Write(answer); err != nil {
		return err
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return err
	}
	if !hmac.Equal(proof, handshakeProof(secret, "client", peerNonce, ownNonce)) {
		return errSecretMismatch
	}
	return conn.SetDeadline(time.Time{})
}

func handshakeProof(secret []byte, side string, clientNonce, serverNonce []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(side))
	mac.Write(clientNonce)
	mac.Write(serverNonce)
	return mac.Sum(nil)
}
