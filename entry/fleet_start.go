package entry

import "time"

// fleetStartSpread is the longest time between the starts of two VMs of a fleet that starts as a whole, by
// their clocks. A VM whose clock is further off counts as older or younger, and nothing is granted.
const fleetStartSpread = 3 * time.Second

// decideStart grants the teams their start levels once this VM hears that more than half of the registered
// VMs have started when it did. If any is older, that one knows what the teams have used. The caller holds the lock.
func (v *view) decideStart(now time.Time) {
	if v.startDecided || !v.seenSelf || v.configuration == nil {
		return
	}
	young := 1
	for id, p := range v.peers {
		switch apart := time.Duration(p.Incarnation - v.incarnation).Abs(); {
		case id == v.self:
		case apart > fleetStartSpread:
			v.startDecided = true
			return
		case p.listedWithin(now, peerTimeout):
			young++
		}
	}
	// A VM that hears of no other may just not have heard of them yet.
	isAlone := young == 1 && now.Sub(v.startedAt) < startupGrace
	if isAlone || 2*young <= len(v.members) {
		return
	}
	v.startDecided = true
	v.limiter.GrantStart(now)
	v.log.Info("all VMs have just started; the buckets of the teams start with a part of the tolerance", "vms_heard", young, "vms_registered", len(v.members))
}
