package vm

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"expvar"
	"io"
	"log"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/bergamotgrade/bergamotgrade/memory"
)

// newConn starts JSON-RPC on a connection that has completed the handshake. The holding is charged
// with the messages that arrive.
func newConn(ctx context.Context, conn net.Conn, handler jsonrpc2.Handler, holding *memory.Holding, metrics *expvar.Map) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(meteredConn{conn, metrics}, frameCodec{holding})
	// Each call returns its error to the caller; the library's log lines would be unstructured.
	return jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
}

// meteredConn counts the bytes of a connection between VMs. Its reads fail after
// idleTimeout without data, which ends the connection.
type meteredConn struct {
	net.Conn
	metrics *expvar.Map
}

// Read implements io.Reader.
func (c meteredConn) Read(p []byte) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
	n, err := c.Conn.Read(p)
	c.metrics.Add("bytes_read", int64(n))
	return n, err
}

// Write implements io.Writer.
func (c meteredConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(handshakeTimeout))
	n, err := c.Conn.Write(p)
	c.metrics.Add("bytes_written", int64(n))
	return n, err
}

// frameCodec prefixes each message with its length as a 4-byte big-endian integer and
// rejects received messages above maxMessageBytes. It charges the holding with a message as its bytes
// arrive, until it is decoded.
type frameCodec struct {
	holding *memory.Holding
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (frameCodec) WriteObject(stream io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	var header [4]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(data)))
	if _, err := stream.Write(header[:]); err != nil {
		return err
	}
	_, err = stream.Write(data)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c frameCodec) ReadObject(stream *bufio.Reader, v any) error {
	var header [4]byte
	if _, err := io.ReadFull(stream, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxMessageBytes {
		return errors.Newf("message of %d bytes exceeds the size limit", size)
	}
	data, err := memory.ReadAll(io.LimitReader(stream, int64(size)), c.holding, int64(size), maxMessageBytes)
	if err != nil {
		return err
	}
	defer c.holding.Release(int64(cap(data)))
	if len(data) < int(size) {
		return io.ErrUnexpectedEOF
	}
	// The decoded message holds a copy of its parameters or its result.
	if err := c.holding.Reserve(int64(size)); err != nil {
		return err
	}
	defer c.holding.Release(int64(size))
	return json.Unmarshal(data, v)
}
