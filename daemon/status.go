package daemon

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade/operator"
)

// status tells operators how this VM stands.
func (v *VM) status() operator.Status {
	state := v.follower.State()
	table := v.keeper.Table()
	self := v.keeper.Self()
	status := operator.Status{
		VMID:       v.settings.VMID,
		DataCentre: v.settings.DataCentre,
		Revision:   state.Revision(),
		Draining:   v.caller.Draining(),
		InFlight:   v.caller.InFlight(),
		Waiting:    v.fleet.QueueLength(),
		Teams:      state.TeamCount(),
		Keys:       state.KeyCount(),
		Slots:      table.SlotsOf(self.Incarnation),
		Members:    []operator.Member{},

		RatesSettled: table.Balanced() && v.limiter.Settled(),
	}
	for _, m := range table.Members {
		entry := operator.Member{VMRecord: m, Revision: v.keeper.Revision(m.Incarnation)}
		if m.Incarnation == self.Incarnation {
			entry.Revision = state.Revision()
		} else if heardAt := v.keeper.HeardAt(m.Incarnation); !heardAt.IsZero() {
			entry.HeardAgoMilliseconds = time.Since(heardAt).Milliseconds()
		}
		status.Members = append(status.Members, entry)
	}
	status.Reason = v.notReadyReason()
	status.Ready = status.Reason == ""
	return status
}

// notReadyReason says why callers should not be sent here, or nothing.
func (v *VM) notReadyReason() string {
	switch {
	case v.caller.Draining():
		return "the VM is stopping"
	case v.follower.State().Revision() == 0:
		return "no configuration has been read yet"
	case !v.keeper.Holds():
		return "the VM is cut off from the platform and from most other VMs"
	case !v.ratesSettled():
		return "the standing shares of the rates are not all lent yet"
	}
	return ""
}

// ratesSettled reports whether the rates have been shared out since this VM
// started; a gap that an eviction leaves later counts no more, nor does one
// while the platform is down.
func (v *VM) ratesSettled() bool {
	if v.keeper.Table().Balanced() && v.limiter.Settled() || !v.keeper.PlatformAnswers() {
		v.ratesSeen.Store(true)
	}
	return v.ratesSeen.Load()
}
