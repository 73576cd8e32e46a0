package vm

import "time"

const (
	// protocolVersion is the first byte that either side sends on a connection.
	protocolVersion = 1
	// nonceBytes is the length of a handshake nonce.
	nonceBytes = 32
	// handshakeTimeout bounds the handshake of a connection and each write after it.
	handshakeTimeout = 2 * time.Second
	// dialTimeout bounds the TCP connection set-up.
	dialTimeout = time.Second
	// maxInFlightPerPeer bounds the concurrent calls to one peer.
	maxInFlightPerPeer = 256
	// maxConcurrentCalls bounds the calls that a VM serves at the same time.
	maxConcurrentCalls = 1024
	// maxMessageBytes bounds the encoded size of one message.
	maxMessageBytes = 32 << 20
	// idleTimeout is the time without received data after which a connection is closed.
	idleTimeout = time.Minute
)
