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

// membership keeps this VM registered in the platform's store.
type membership struct {
	kv      bergamotgrade.KeyValue
	self    member
	term    time.Duration
	log     *slog.Logger
	leaseID atomic.Int64
	lost    bool
}

// run registers the VM and renews its lease until the context ends.
func (m *membership) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := memberRenewal
		if err := m.keep(ctx); err != nil {
			pause = memberRetry
			if !m.lost && ctx.Err() == nil {
				m.log.Warn("registration cannot be renewed", "cause", err.Error())
			}
			m.lost = true
		} else if m.lost {
			m.lost = false
			m.log.Info("registration renewed again")
		}
		if !bergamotgrade.Sleep(ctx, pause) {
			return
		}
	}
}

func (m *membership) keep(ctx context.Context) error {
	if held := m.leaseID.Load(); held != 0 {
		err := m.kv.KeepLease(ctx, held)
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
	m.log.Info("registered", "incarnation", m.self.Incarnation)
	return nil
}

// end gives the registration up.
func (m *membership) end(ctx context.Context) {
	held := m.leaseID.Load()
	if held == 0 {
		return
	}
	if err := m.kv.EndLease(ctx, held); err != nil {
		m.log.Warn("registration not ended; it lapses by itself", "cause", err.Error())
	}
}
