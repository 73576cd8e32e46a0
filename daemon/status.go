package daemon

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade/operator"
)

// status returns the state of this VM for the operators' interface.
func (v *VM) status() operator.Status {
	state := v.follower.State()
	table := v.membership.Table()
	self := v.membership.Self()
	status := operator.Status{
		VMID:       v.settings.VMID,
		DataCentre: v.settings.DataCentre,
		Revision:   state.Revision(),
		Draining:   v.caller.Draining(),
		InFlight:   v.caller.InFlight(),
		Waiting:    v.dispatcher.QueueLength(),
		Teams:      state.TeamCount(),
		Keys:       state.KeyCount(),
		Slots:      table.SlotsOf(self.Incarnation),
		Members:    []operator.Member{},

		RatesSettled: table.Balanced() && v.limiter.Settled(),
	}
	for _, m := range table.Members {
		entry := operator.Member{VMRecord: m, Revision: v.membership.ReportedRevision(m.Incarnation)}
		if m.Incarnation == self.Incarnation {
			entry.Revision = state.Revision()
		} else if lastContact := v.membership.LastContact(m.Incarnation); !lastContact.IsZero() {
			entry.HeardAgoMilliseconds = time.Since(lastContact).Milliseconds()
		}
		status.Members = append(status.Members, entry)
	}
	status.Reason = v.notReadyReason()
	status.Ready = status.Reason == ""
	return status
}

// notReadyReason returns why load balancers must not send callers to this VM, or the
// empty string if it is ready.
func (v *VM) notReadyReason() string {
	switch {
	case v.caller.Draining():
		return "the VM is stopping"
	case v.follower.State().Revision() == 0:
		return "no configuration has been read yet"
	case !v.membership.MayServe():
		return "the VM is cut off from the platform and from most other VMs"
	case !v.ratesSettled():
		return "the standing shares of the rates are not all lent yet"
	}
	return ""
}

// ratesSettled reports whether all rate shares are assigned to VMs and pledged to their
// brokers. It also returns true if the platform is unreachable, since shares cannot be
// assigned then. Once true it stays true, so that an eviction that later leaves shares
// unassigned does not make the VM unready.
func (v *VM) ratesSettled() bool {
	if v.membership.Table().Balanced() && v.limiter.Settled() || !v.membership.PlatformReachable() {
		v.ratesSettledOnce.Store(true)
	}
	return v.ratesSettledOnce.Load()
}
