package quarantine

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
)

// DialProber implements bergamotgrade.ServerProber by opening a TCP connection.
type DialProber struct{ dialer net.Dialer }

var _ bergamotgrade.ServerProber = (*DialProber)(nil)

// NewDialProber returns a prober.
func NewDialProber() *DialProber { return &DialProber{} }

// HasEnded implements bergamotgrade.ServerProber. A server that does not answer at all may be
// alive behind a broken network.
func (p *DialProber) HasEnded(ctx context.Context, server bergamotgrade.ServerRecord) bool {
	conn, err := p.dialer.DialContext(ctx, "tcp", server.Address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
