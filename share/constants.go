package share

import "time"

const (
	// decayTime is the time constant of the decayed rates: a few requests of a team with some requests a
	// second, and a fraction of a load swing of about 5 s. With 1.5 s scarcity is recognized later: in the replay of
	// package relay 0.985 of the requests of light teams were in time, 0.996 with 1 s.
	decayTime = 1000 * time.Millisecond
	// retention is how long a team is kept after its last request; its rate has then decayed to a thousandth.
	retention = 10 * time.Second
	// sweepInterval is the pause between two removals of teams without recent requests.
	sweepInterval = time.Second
	// peerTimeout is how long the totals of a data centre count after they arrived; several arrive in that time.
	peerTimeout = 1200 * time.Millisecond
	// warmUp is the time after the first request, or the first totals of other VMs, until shares are judged: before
	// it this VM knows too little of what the others are asked for.
	warmUp = time.Second
	// assessInterval is how long an assessment is used; status is no newer.
	assessInterval = 50 * time.Millisecond
	// maxTeams bounds the teams of a message; the others are in its rest.
	maxTeams = 64
	// levelFactor times the capacity is what the level divides in scarcity; the rest is left to requests beyond the
	// share. With all of it, requests within the share queue for each other: with a third of the VMs cut off
	// in the replay of package relay, 0.988 of the requests of light teams were in time with 0.8 and 0.977 with 0.9.
	levelFactor = 0.8
	// leaveFactor times the capacity is the demand below which scarcity ends, so that it does not begin and end
	// with the noise of single requests.
	leaveFactor = 0.9
	// creditLimit bounds the credit of a team, in requests of mean cost: within share beforehand, and beyond it for
	// requests that come back after a refusal.
	creditLimit = 2
	// returnedFraction times the longest remaining time of a team's recent requests is the remaining time below
	// which a request is taken for one that comes back after a refusal.
	returnedFraction = 0.97
)
