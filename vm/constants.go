package vm

import "time"

const (
	// protocolVersion is the first byte of every connection.
	protocolVersion = 1
	// nonceBytes is the length of a handshake nonce.
	nonceBytes = 32
	// handshakeTimeout bounds the handshake of a connection.
	handshakeTimeout = 2 * time.Second
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = time.Second
	// maxInFlight bounds the calls under way to one peer.
	maxInFlight = 256
	// maxServed bounds the calls that a VM serves at the same time.
	maxServed = 1024
	// maxMessageBytes bounds one message.
	maxMessageBytes = 32 << 20
	// idleTimeout ends an inner connection that carries nothing.
	idleTimeout = time.Minute
)
