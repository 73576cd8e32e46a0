package hostile

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

const (
	// bodyBytes is the largest body that the configuration allows.
	bodyBytes = 4 << 20
	// writeTimeout ends the writes of a client to which the process does not listen.
	writeTimeout = 10 * time.Second
)

// content is what all bodies consist of: the start of a JSON text without its end.
var content = append([]byte(`"`), bytes.Repeat([]byte("x"), bodyBytes-1)...)

// client sends its part of a crowd on a connection, which then stays open. An error ends only
// this client: the process may close its connection at any time.
type client func(conn net.Conn, number int) error

// crowd opens the number of connections to the address at once, sends on each what the client
// sends, and returns when all have sent it or were closed. The connections stay open until
// the end of the test.
func crowd(t *testing.T, address string, number int, send client) {
	var sending sync.WaitGroup
	var mu sync.Mutex
	sent := 0
	for i := range number {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp4", address, writeTimeout)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			if conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil || send(conn, i) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sent++
		})
	}
	sending.Wait()
	t.Logf("%d of %d clients have sent all", sent, number)
}

// target names a request of the own or the platform's interface.
type target struct {
	method, path string
}

// head returns the head of a request up to its last header.
func (to target) head(number int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n"+standin.AttemptIDHeader+": hostile%d\r\n"+standin.TokenUsageHeader+": 10,5\r\nContent-Type: application/json\r\n",
		to.method, to.path, key, number)
}

// shortBody announces the size and sends the given number of bytes less.
func shortBody(to target, size, missing int) client {
	return func(conn net.Conn, number int) error {
		_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", to.head(number), size)
		if err == nil {
			_, err = conn.Write(content[:size-missing])
		}
		return err
	}
}

// bodyInPieces is a shortBody that arrives in pieces of 16 KiB.
func bodyInPieces(to target, size int) client {
	return func(conn net.Conn, number int) error {
		_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", to.head(number), size)
		for rest := content[:size-1]; err == nil && len(rest) > 0; {
			piece := rest[:min(len(rest), 16<<10)]
			rest = rest[len(piece):]
			_, err = conn.Write(piece)
		}
		return err
	}
}

// manyFields sends a head with the number of empty fields, and no body.
func manyFields(to target, fields int) client {
	return func(conn net.Conn, number int) error {
		var head strings.Builder
		head.WriteString(to.head(number))
		for field := range fields {
			head.WriteString(strconv.FormatInt(int64(field), 36) + ":\r\n")
		}
		_, err := fmt.Fprintf(conn, "%sContent-Length: 10\r\n\r\n", head.String())
		return err
	}
}

// oneChunk sends one chunk without its last byte.
func oneChunk(to target, size int) client {
	return func(conn net.Conn, number int) error {
		_, err := fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", to.head(number), size)
		if err == nil {
			_, err = conn.Write(content[:size-1])
		}
		return err
	}
}

// smallChunks sends chunks of one byte and stops short of the last one.
func smallChunks(to target, chunks int) client {
	wire := bytes.Repeat([]byte("1\r\nx\r\n"), chunks)
	return func(conn net.Conn, number int) error {
		_, err := fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n", to.head(number))
		if err == nil {
			_, err = conn.Write(wire)
		}
		return err
	}
}

// endlessHead sends headers of the number of bytes, in lines, and no end of the head.
func endlessHead(to target, size int) client {
	return func(conn net.Conn, number int) error {
		_, err := io.WriteString(conn, to.head(number))
		for sent := 0; err == nil && sent < size; sent += 1024 {
			_, err = fmt.Fprintf(conn, "X-Filler-%d: %s\r\n", sent, content[1:1000])
		}
		return err
	}
}

// endlessLine sends a header line of the number of bytes and no end of it.
func endlessLine(to target, size int) client {
	return func(conn net.Conn, number int) error {
		_, err := io.WriteString(conn, to.head(number)+"X-Filler: ")
		if err == nil {
			_, err = conn.Write(content[:size])
		}
		return err
	}
}

// emptyLines sends empty lines and no request.
func emptyLines(size int) client {
	lines := bytes.Repeat([]byte("\r\n"), size/2)
	return func(conn net.Conn, _ int) error {
		_, err := conn.Write(lines)
		return err
	}
}

// idle sends nothing.
func idle(net.Conn, int) error { return nil }

// halfHead sends the first bytes of a request.
func halfHead(conn net.Conn, _ int) error {
	_, err := io.WriteString(conn, "POST /")
	return err
}

// unread sends the request and never reads of its answer; the receive buffer is small.
func unread(request func(number int) string) client {
	return func(conn net.Conn, number int) error {
		if err := conn.(*net.TCPConn).SetReadBuffer(4096); err != nil {
			return err
		}
		_, err := io.WriteString(conn, request(number))
		return err
	}
}

// jobOfSize returns the body of a batch submission of one item with a body of the size.
func jobOfSize(size int) string {
	return fmt.Sprintf(`{"items":[{"identifier":"big","path":"/jobs/big","tokens":15,"headers":{},"body":%q}]}`, base64.StdEncoding.EncodeToString(content[:size]))
}

// shortFrame proves knowledge of the secret to another VM's listener, announces a message of
// the size and sends the given number of its bytes.
func shortFrame(secret string, size, sent int) client {
	return func(conn net.Conn, _ int) error {
		nonce := bytes.Repeat([]byte("n"), 32)
		if _, err := conn.Write(append([]byte{1}, nonce...)); err != nil {
			return err
		}
		answer := make([]byte, 1+32+sha256.Size)
		if err := conn.SetReadDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := io.ReadFull(conn, answer); err != nil {
			return err
		}
		mac := hmac.New(sha256.New, []byte(secret))
		mac.Write([]byte("client"))
		mac.Write(nonce)
		mac.Write(answer[1:33])
		if _, err := conn.Write(mac.Sum(nil)); err != nil {
			return err
		}
		var header [4]byte
		binary.BigEndian.PutUint32(header[:], uint32(size))
		if _, err := conn.Write(header[:]); err != nil {
			return err
		}
		for rest := sent; rest > 0; rest -= len(content) {
			if _, err := conn.Write(content[:min(rest, len(content))]); err != nil {
				return err
			}
		}
		return nil
	}
}

// randomDatagrams sends datagrams of repeated bytes to the address.
func randomDatagrams(t *testing.T, address string, number int) {
	conn, err := net.Dial("udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for i := range number {
		// The datagram may be dropped; the test is that the process lives.
		_, _ = conn.Write([]byte(strings.Repeat(string([]byte{byte(i), byte(i >> 8), 0x93, 0xdd}), 15000)))
	}
}
