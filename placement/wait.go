package placement

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// SlotUsage returns the number of slots, and of requests of the class, at the servers of
// the set that take requests now or will by themselves.
func (sel *Selector) SlotUsage(now time.Time, servers bergamotgrade.ServerSet, class Class) (slots, used int) {
	for _, s := range sel.servers {
		if sel.counts(now, s, servers) {
			slots += s.record.Slots
			used += s.load(class)
		}
	}
	return slots, used
}

// Capacity returns the number of slots of the servers of the set that take requests now or will by themselves, of those
// that are warm and name no limit, and the sum of the limits of the others in requests per second, over all VMs.
func (sel *Selector) Capacity(now time.Time, servers bergamotgrade.ServerSet) (slots int, limitedPerSecond float64) {
	for _, s := range sel.servers {
		switch {
		case !sel.counts(now, s, servers):
		case sel.isCold(now, s):
			limitedPerSecond += sel.services[s.record.Service].ColdPerSecond
		case s.rate.limited:
			limitedPerSecond += s.rate.perSecond
		default:
			slots += s.record.Slots
		}
	}
	return slots, limitedPerSecond
}

// Pace estimates the starts of waiting requests of one VM.
type Pace struct {
	// First is the time until the first one, Each the time between two.
	First, Each time.Duration
}

// ExpectedWait estimates how long a request waits for a slot of the set if ahead
// requests on this VM wait before it.
func (sel *Selector) ExpectedWait(now time.Time, servers bergamotgrade.ServerSet, ahead, vms int) time.Duration {
	pace := sel.Pace(now, servers, vms)
	return pace.First + time.Duration(ahead)*pace.Each
}

// Pace estimates how fast waiting requests of this VM get slots of the set. It goes by the sum of the servers' speeds,
// assumes that released slots are shared equally by vms VMs, and adds this VM's shares of the limits that servers name and
// of cold servers. If the set has none of these, the first start is when the first server turns warm and the others
// go by the slots of the cold ones, or all are after the mean run time.
func (sel *Selector) Pace(now time.Time, servers bergamotgrade.ServerSet, vms int) Pace {
	slots, coldSlots, limited, warmIn := 0.0, 0.0, 0.0, time.Duration(0)
	for _, s := range sel.servers {
		switch {
		case !sel.counts(now, s, servers):
		case sel.isCold(now, s):
			rate := s.cold.share.bucket.Rate()
			if s.rate.limited {
				rate = min(rate, s.rate.bucket.Rate())
			}
			limited += rate
			coldSlots += float64(s.record.Slots) / sel.slowness(s)
			if wait := s.cold.until.Add(sel.release(s)).Sub(now); warmIn == 0 || wait < warmIn {
				warmIn = wait
			}
		case s.rate.limited:
			limited += s.rate.bucket.Rate()
		default:
			slots += float64(s.record.Slots) / sel.slowness(s)
		}
	}
	perSecond := slots/(float64(max(1, vms))*sel.runTime.Seconds()) + limited
	switch {
	case perSecond == 0 && warmIn > 0:
		return Pace{First: warmIn, Each: time.Duration(float64(max(1, vms)) * float64(sel.runTime) / max(1, coldSlots))}
	case perSecond == 0:
		return Pace{First: sel.runTime}
	}
	each := time.Duration(float64(time.Second) / perSecond)
	return Pace{First: each, Each: each}
}
