package placement

import (
	"slices"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/limit"
)

// coldShare is this VM's share of the requests that a cold server tolerates from all VMs.
type coldShare struct {
	bucket limit.Bucket
	// batch bounds what batch items take of the share at a VM that also takes callers' requests.
	batch limit.Bucket
	// isRunners is set if the share is that of the VMs that only run batch items.
	isRunners bool
}

// registeredVM is a VM that shares the bounds of cold servers.
type registeredVM struct {
	takesCallers bool
	// absentSince is since when the VM has not been registered; zero while it is.
	absentSince time.Time
}

// hasToken reports whether this VM may send the cold server a request of the class.
func (c *coldShare) hasToken(now time.Time, class Class) bool {
	if class == Batch && !c.isRunners && c.batch.Level(now) < 1 {
		return false
	}
	return c.bucket.Level(now) >= 1
}

// spend takes the token of a request.
func (c *coldShare) spend(now time.Time, class Class) {
	c.bucket.Spend(now, 1)
	if class == Batch {
		c.batch.Spend(now, 1)
	}
}

// SetServices replaces the services. A cold server may get overshoot times its rate in a second; zero
// selects the default.
func (sel *Selector) SetServices(now time.Time, services map[string]bergamotgrade.FleetService, overshoot float64) {
	if overshoot <= 1 {
		overshoot = defaultColdOvershoot
	}
	sel.services, sel.coldOvershoot = services, overshoot
	for _, s := range sel.servers {
		sel.updateCold(now, s)
	}
	sel.chooseHome(now)
	sel.shareAllCold(now)
}

// SetRegistered replaces the ids of the registered VMs, which share the bounds of cold servers whether
// or not this VM hears from them: those that take callers' requests, and those that only run batch
// items. A VM that is no longer registered keeps its share for registeredRetention: it may be cut off
// and go on to send.
func (sel *Selector) SetRegistered(now time.Time, callers, runners []string) {
	if sel.registeredAt.IsZero() {
		sel.registeredAt = now
	}
	for id, vm := range sel.registered {
		if vm.absentSince.IsZero() {
			vm.absentSince = now
			sel.registered[id] = vm
		}
	}
	for _, id := range callers {
		sel.registered[id] = registeredVM{takesCallers: true}
	}
	for _, id := range runners {
		sel.registered[id] = registeredVM{}
	}
	sel.shareAllCold(now)
}

// listSharers drops the VMs that have been gone for registeredRetention and lists the others. This VM
// stays: it knows that it is running.
func (sel *Selector) listSharers(now time.Time) {
	sel.coldCallers, sel.coldRunners, sel.shareAt = sel.coldCallers[:0], sel.coldRunners[:0], time.Time{}
	due := func(at time.Time) {
		if at.After(now) && (sel.shareAt.IsZero() || at.Before(sel.shareAt)) {
			sel.shareAt = at
		}
	}
	due(sel.registeredAt.Add(coldSettle))
	for id, vm := range sel.registered {
		if !vm.absentSince.IsZero() && id != sel.vmID {
			endsAt := vm.absentSince.Add(registeredRetention)
			if !endsAt.After(now) {
				delete(sel.registered, id)
				continue
			}
			due(endsAt)
		}
		if vm.takesCallers {
			sel.coldCallers = append(sel.coldCallers, id)
		} else {
			sel.coldRunners = append(sel.coldRunners, id)
		}
	}
}

// shareAllCold lists the sharers and sets this VM's shares of all cold servers.
func (sel *Selector) shareAllCold(now time.Time) {
	sel.listSharers(now)
	for _, s := range sel.servers {
		if s.cold.isCold {
			sel.shareCold(now, s)
		}
	}
}

// shareCold sets this VM's share of the cold server. As many VMs as have a whole request of the burst get
// a share; one of these is a VM that runs batch items, if any is registered. The other VMs of a large
// fleet send nothing, since each could send a request at the same moment.
func (sel *Selector) shareCold(now time.Time, s *serverState) {
	perSecond := sel.services[s.record.Service].ColdPerSecond
	burst := perSecond * (sel.coldOvershoot - 1)
	sharers := max(1, int(burst))
	group, groupSharers, share := sel.coldCallers, sharers, 1.0
	switch isRunner := slices.Contains(sel.coldRunners, sel.vmID); {
	case len(sel.coldCallers) == 0 || len(sel.coldRunners) == 0:
		if isRunner {
			group = sel.coldRunners
		}
	case sharers == 1:
		if isRunner {
			share = 0
		}
	case isRunner:
		group, groupSharers, share = sel.coldRunners, 1, 1/float64(sharers)
	default:
		groupSharers, share = sharers-1, float64(sharers-1)/float64(sharers)
	}
	s.cold.share.isRunners = len(sel.coldRunners) > 0 && slices.Contains(sel.coldRunners, sel.vmID)
	users := min(groupSharers, len(group))
	rank, _ := sel.rateRank(s.record.ServerID, group)
	isSharer := slices.Contains(group, sel.vmID) && rank < users && !now.Before(sel.registeredAt.Add(coldSettle))
	if !isSharer || perSecond <= 0 || share == 0 {
		s.cold.share.bucket.Resize(now, 0, 0)
		s.cold.share.batch.Resize(now, 0, 0)
		return
	}
	rate := perSecond * share / float64(users)
	s.cold.share.bucket.Resize(now, rate, max(1, burst*share/float64(users)))
	s.cold.share.batch.Resize(now, rate*coldBatchFraction, 1)
}
