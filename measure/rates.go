package measure

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Rates is the outcome of rate limiting in one rate mode. Ordinary teams send less than
// their rate, each to a single VM; the first team floods all VMs with several times its
// rate.
type Rates struct {
	Mode string `json:"mode"`
	// RefusedWithoutFault is the fraction of the ordinary teams' requests that were not
	// admitted while all VMs ran, RefusedVMKilled the fraction while a VM was killed.
	RefusedWithoutFault float64 `json:"refused_within_rate_quiet"`
	RefusedVMKilled     float64 `json:"refused_within_rate_vm_killed"`
	// WorstTeam is the smallest admitted fraction of any ordinary team without a fault.
	WorstTeam float64 `json:"worst_team_admitted"`
	// AdmittedBeyondLimit is the number of requests of all teams that were admitted
	// beyond rate and burst.
	AdmittedBeyondLimit int `json:"admitted_beyond_rate_and_burst"`
	// FloodAdmittedShare is the number of admitted requests of the flooding team,
	// divided by what its rate and burst allow.
	FloodAdmittedShare float64 `json:"flood_admitted_of_owed"`
}

const (
	// ratePhaseDuration is the duration of each phase: without a fault, and with a
	// killed VM.
	ratePhaseDuration = 3 * time.Second
	// ordinaryRateFactor is the load of an ordinary team as a fraction of its rate,
	// floodRateFactor that of the flooding team.
	ordinaryRateFactor = 0.8
	floodRateFactor    = 5.0
)

// teamCounts counts the requests of one team.
type teamCounts struct {
	mu                      sync.Mutex
	sent, admitted, refused int
}

// measureRates runs the phase without a fault and the phase with a killed VM.
func measureRates(ctx context.Context, binaries string, shape Shape, mode string) (Rates, error) {
	shape.VMFlags = append([]string{"--rate-mode", mode}, shape.VMFlags...)
	rates := Rates{Mode: mode, WorstTeam: 1}
	fleet, err := Start(ctx, binaries, shape)
	if err != nil {
		return rates, err
	}
	defer fleet.Stop()
	time.Sleep(2 * time.Second) // lets the token buckets of all teams fill
	startedAt := time.Now()
	withoutFault := fleet.runRateLoad(ctx, ratePhaseDuration, func() {})
	last := len(fleet.pids) - 1
	withFault := fleet.runRateLoad(ctx, ratePhaseDuration, func() {
		_ = syscall.Kill(fleet.pids[last], syscall.SIGKILL)
	})
	elapsed := time.Since(startedAt).Seconds()
	rates.RefusedWithoutFault, rates.WorstTeam = refusedShare(withoutFault)
	rates.RefusedVMKilled, _ = refusedShare(withFault)
	for team := range withoutFault {
		admitted := float64(withoutFault[team].admitted + withFault[team].admitted)
		allowed := shape.Burst + shape.Rate*elapsed
		if admitted > allowed {
			rates.AdmittedBeyondLimit += int(admitted - allowed)
		}
		if team == 0 {
			rates.FloodAdmittedShare = admitted / allowed
		}
	}
	return rates, nil
}

// refusedShare returns the fraction of the ordinary teams' requests that were not
// admitted, and the smallest admitted fraction of any of these teams.
func refusedShare(teams []*teamCounts) (refused, worst float64) {
	sent, notAdmitted := 0, 0
	worst = 1
	for _, t := range teams[1:] {
		sent += t.sent
		notAdmitted += t.sent - t.admitted
		worst = min(worst, float64(t.admitted)/float64(max(1, t.sent)))
	}
	return float64(notAdmitted) / float64(max(1, sent)), worst
}

// runRateLoad runs the load of all teams and calls injectFault after an eighth of the
// duration. Each team sends to one VM; the first team floods all. The last VM gets no
// requests, since injectFault may kill it.
func (f *Fleet) runRateLoad(ctx context.Context, length time.Duration, injectFault func()) []*teamCounts {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 10 * time.Second}
	vms := f.callers[:len(f.callers)-1]
	teams := make([]*teamCounts, f.shape.Teams)
	var senders sync.WaitGroup
	for team := range teams {
		teams[team] = &teamCounts{}
		rate, targets := f.shape.Rate*ordinaryRateFactor, vms[team%len(vms):team%len(vms)+1]
		if team == 0 {
			rate, targets = f.shape.Rate*floodRateFactor, vms
		}
		senders.Go(func() { teams[team].run(ctx, client, team, rate, length, targets) })
	}
	time.Sleep(length / 8)
	injectFault()
	senders.Wait()
	return teams
}

// run sends requests at a fixed rate, regardless of the responses to earlier ones.
func (t *teamCounts) run(ctx context.Context, client *http.Client, team int, rate float64, length time.Duration, vms []string) {
	startedAt := time.Now()
	var requests sync.WaitGroup
	for i := range int(rate * length.Seconds()) {
		time.Sleep(time.Until(startedAt.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		requests.Go(func() { t.send(ctx, client, team, vms[i%len(vms)]) })
	}
	requests.Wait()
}

func (t *teamCounts) send(ctx context.Context, client *http.Client, team int, vm string) {
	status := 0
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm+"/v1/services/echo/x", nil)
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+teamKey(team))
	if res, err := client.Do(req); err == nil {
		status = res.StatusCode
		_ = res.Body.Close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	switch status {
	case http.StatusOK:
		t.admitted++
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		t.refused++
	}
}
