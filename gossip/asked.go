package gossip

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade/share"
)

// EncodeWork converts work for a message; it returns nil only for nil.
func EncodeWork(works []share.ServiceWork) []ServiceWork {
	if works == nil {
		return nil
	}
	message := make([]ServiceWork, 0, len(works))
	for _, work := range works {
		teams := make([]TeamWork, 0, len(work.Teams))
		for _, t := range work.Teams {
			teams = append(teams, TeamWork{t.Team, uint64(max(0, t.PerSecond))})
		}
		message = append(message, ServiceWork{Service: work.Service, Teams: teams, RestTeams: work.RestTeams, RestPerSecond: uint64(max(0, work.RestPerSecond))})
	}
	return message
}

// decodeWork converts the work of a message; it returns nil only for nil.
func decodeWork(message []ServiceWork) []share.ServiceWork {
	if message == nil {
		return nil
	}
	works := make([]share.ServiceWork, 0, len(message))
	for _, work := range message {
		teams := make([]share.TeamWork, 0, len(work.Teams))
		for _, t := range work.Teams {
			teams = append(teams, share.TeamWork{Team: t.Team, PerSecond: float64(t.PerSecond)})
		}
		works = append(works, share.ServiceWork{Service: work.Service, Teams: teams, RestTeams: max(0, work.RestTeams), RestPerSecond: float64(work.RestPerSecond)})
	}
	return works
}

// askedSender decides which statuses hold the work asked for, and remembers it for those that omit it.
type askedSender struct {
	sentAt time.Time
	last   []ServiceWork
}

// next returns the work that the hubs know after the status, and the work to send with it, which is nil if it omits it:
// statuses hold it every askedInterval, and at once for new hubs. An empty work is sent once.
func (a *askedSender) next(now time.Time, works []ServiceWork, force bool) (known, sent []ServiceWork) {
	isDue := now.Sub(a.sentAt) >= askedInterval && (len(works) > 0 || len(a.last) > 0)
	if !force && !isDue {
		return a.last, nil
	}
	if works == nil {
		works = []ServiceWork{}
	}
	a.sentAt, a.last = now, works
	return works, works
}

// sumAsked returns the sum of the last work of the live VMs that they have told of within askedRetention.
func sumAsked(now time.Time, live []*hubRecord) []ServiceWork {
	all := make([][]share.ServiceWork, 0, len(live))
	for _, record := range live {
		if len(record.asked) > 0 && now.Sub(record.askedAt) <= askedRetention {
			all = append(all, decodeWork(record.asked))
		}
	}
	return EncodeWork(share.Sum(all...))
}

// withoutAsked returns the work less the own part.
func withoutAsked(total, own []ServiceWork) []share.ServiceWork {
	if total == nil {
		return nil
	}
	return share.Subtract(decodeWork(total), decodeWork(own))
}
