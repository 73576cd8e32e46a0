package rig3

import (
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// The socket of a client that does not read: the segment size of an Ethernet link, and a small window.
const (
	segmentBytes = 1448
	windowBytes  = 4096
)

// SlowRead asks for the results of a job from the start on a new connection. With reads set it takes the
// answer at once; otherwise it reads nothing and keeps the connection open for the time.
func (r *Rig) SlowRead(vm *VM, route Route, id string, reads bool, hold time.Duration) error {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			if !reads {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
			}
		})
	}}
	ctx, cancel := context.WithTimeout(context.Background(), hold)
	defer cancel()
	conn, err := dialer.DialContext(ctx, "tcp4", vm.Settings.CallerAddress())
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(hold))
	if _, err := fmt.Fprintf(conn, "GET /api/lots/%s?after=0 HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n", id, route.Host, Key(route)); err != nil {
		return err
	}
	if !reads {
		<-ctx.Done()
		return nil
	}
	_, err = io.Copy(io.Discard, conn)
	return err
}
