package placement

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// SlotUsage returns the number of slots, and of requests of the class, at the servers of
// the set that accept new requests.
func (sel *Selector) SlotUsage(servers bergamotgrade.ServerSet, class Class) (slots, used int) {
	for _, s := range sel.servers {
		if servers.Includes(s.record) && !s.record.Draining {
			slots += s.record.Slots
			used += s.load(class)
		}
	}
	return slots, used
}

// ExpectedWait estimates how long a request waits for a slot of the set if ahead
// requests on this VM wait before it. It goes by the sum of the servers' speeds, assumes that
// released slots are shared equally by vms VMs, and adds this VM's shares of the limits that servers name. If the set has
// neither it returns the mean run time.
func (sel *Selector) ExpectedWait(servers bergamotgrade.ServerSet, ahead, vms int) time.Duration {
	slots, limited := 0.0, 0.0
	for _, s := range sel.servers {
		switch {
		case !servers.Includes(s.record) || s.record.Draining:
		case s.rate.limited:
			limited += s.rate.bucket.Rate()
		default:
			slots += float64(s.record.Slots) / sel.slowness(s)
		}
	}
	perSecond := slots/(float64(max(1, vms))*sel.runTime.Seconds()) + limited
	if perSecond == 0 {
		return sel.runTime
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}
