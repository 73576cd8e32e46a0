package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
)

// membership keeps this VM registered in the platform's store under a lease.
type membership struct {
	kv      bergamotgrade.KeyValue
	self    member
	term    time.Duration
	log     *slog.Logger
	leaseID atomic.Int64
	failing bool
}

// run registers the VM and renews its lease until the context ends.
func (m *membership) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := leaseRenewInterval
		if err := m.refresh(ctx); err != nil {
			pause = leaseRetryDelay
			if !m.failing && ctx.Err() == nil {
				m.log.Warn("registration in the store cannot be renewed; retrying", "cause", err.Error())
			}
			m.failing = true
		} else if m.failing {
			m.failing = false
			m.log.Info("registration in the store renewed after failures")
		}
		if !bergamotgrade.Sleep(ctx, pause) {
			return
		}
	}
}

// refresh renews the lease. Without a lease, or after the lease has expired, it
// registers the VM under a new one.
func (m *membership) refresh(ctx context.Context) error {
	if current := m.leaseID.Load(); current != 0 {
		err := m.kv.KeepLease(ctx, current)
		if !errors.Is(err, bergamotgrade.ErrNoLease) {
			return err
		}
		m.leaseID.Store(0)
	}
	leaseID, err := m.kv.NewLease(ctx, m.term)
	if err != nil {
		return err
	}
	value, err := json.Marshal(m.self)
	if err != nil {
		return err
	}
	_, err = m.kv.Commit(ctx, bergamotgrade.KeyCommit{Writes: []bergamotgrade.KeyWrite{{Key: memberPrefix + m.self.VMID, Value: value, LeaseID: leaseID}}})
	if err != nil {
		return err
	}
	m.leaseID.Store(leaseID)
	m.log.Info("registered in the store", "incarnation", m.self.Incarnation)
	return nil
}

// deregister ends the lease, which removes the registration.
func (m *membership) deregister(ctx context.Context) {
	leaseID := m.leaseID.Load()
	if leaseID == 0 {
		return
	}
	if err := m.kv.EndLease(ctx, leaseID); err != nil {
		m.log.Warn("registration lease cannot be ended; it expires after its term", "cause", err.Error())
	}
}
