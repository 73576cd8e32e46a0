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

// errStranger is the failure of a peer that does not know the secret.
var errStranger = errors.New("the peer does not know the inner secret; give all VMs the same --inner-secret")

// errVersion is the failure of a peer with another protocol.
var errVersion = errors.New("the peer speaks another version of the inner protocol; upgrade one VM at a time")

// handshakeClient proves to each other that both ends know the secret, without
// sending it.
func handshakeClient(conn net.Conn, secret []byte) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	own := make([]byte, nonceBytes)
	if _, err := rand.Read(own); err != nil {
		return err
	}
	if _, err := conn.Write(append([]byte{protocolVersion}, own...)); err != nil {
		return err
	}
	answer := make([]byte, 1+nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return err
	}
	if answer[0] != protocolVersion {
		return errVersion
	}
	theirs, proof := answer[1:1+nonceBytes], answer[1+nonceBytes:]
	if !hmac.Equal(proof, prove(secret, "server", own, theirs)) {
		return errStranger
	}
	if _, err := conn.Write(prove(secret, "client", own, theirs)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// handshakeServer is the other side of handshakeClient.
func handshakeServer(conn net.Conn, secret []byte) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	hello := make([]byte, 1+nonceBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return err
	}
	if hello[0] != protocolVersion {
		return errVersion
	}
	theirs := hello[1:]
	own := make([]byte, nonceBytes)
	if _, err := rand.Read(own); err != nil {
		return err
	}
	answer := append([]byte{protocolVersion}, own...)
	answer = append(answer, prove(secret, "server", theirs, own)...)
	if _, err := conn.Write(answer); err != nil {
		return err
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return err
	}
	if !hmac.Equal(proof, prove(secret, "client", theirs, own)) {
		return errStranger
	}
	return conn.SetDeadline(time.Time{})
}

func prove(secret []byte, side string, clientNonce, serverNonce []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(side))
	mac.Write(clientNonce)
	mac.Write(serverNonce)
	return mac.Sum(nil)
}
