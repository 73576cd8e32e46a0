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
)

// newConn speaks JSON-RPC over a connection that has passed the handshake.
func newConn(ctx context.Context, conn net.Conn, handler jsonrpc2.Handler, metrics *expvar.Map) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(countedConn{conn, metrics}, codec{})
	// Calls report their own failures; the library's lines would not be structured.
	return jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
}

// countedConn counts the bytes of the inner protocol and ends a connection on
// which nothing arrives.
type countedConn struct {
	net.Conn
	metrics *expvar.Map
}

// Read implements io.Reader.
func (c countedConn) Read(p []byte) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
	n, err := c.Conn.Read(p)
	c.metrics.Add("bytes_read", int64(n))
	return n, err
}

// Write implements io.Writer.
func (c countedConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(handshakeTimeout))
	n, err := c.Conn.Write(p)
	c.metrics.Add("bytes_written", int64(n))
	return n, err
}

// codec frames each message with its length, which bounds what is read.
type codec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (codec) WriteObject(stream io.Writer, obj any) error {
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
func (codec) ReadObject(stream *bufio.Reader, v any) error {
	var header [4]byte
	if _, err := io.ReadFull(stream, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxMessageBytes {
		return errors.Newf("a message of %d bytes is over the bound", size)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
