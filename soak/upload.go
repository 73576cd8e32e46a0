package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// uploadPath is the prefix of a route for calls that may run only once, and whose callers wait for longer than
// the grace period of VMs.
const uploadPath = "/upload/"

// uploadPrefix begins the ids of the requests of the VM's uploaders.
func uploadPrefix(vm int) string { return fmt.Sprintf("upload%d-", vm) }

// runUploader sends calls whose bodies take seconds, each on a new connection.
func (g *loadGenerator) runUploader(ctx context.Context, vm, n int) {
	client := &http.Client{Timeout: uploadTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; bergamotgrade.Sleep(ctx, callerPause); i++ {
		caller := g.fleet.newCaller(vm, mainKey, client)
		caller.Body, caller.Patience = strings.Repeat("x", uploadBytes), uploadTimeout
		caller.BodyTime = time.Duration(rand.Int64N(int64(maxUploadTime)))
		id := fmt.Sprintf("%s%d-%d", uploadPrefix(vm), n, i)
		g.send(caller, uploadPath+id, id)
	}
}

// plannedStop is a planned stop of an entry VM while no other fault was active.
type plannedStop struct {
	vm       int
	from, to time.Time
}

// recordStop records the planned stop that begins now, unless another fault is active beside it.
func (c *checker) recordStop(f fault, plan []fault) {
	others := slices.DeleteFunc(slices.Clone(plan), func(other fault) bool { return other == f })
	f.duration = stopGracePeriod
	if !isIsolated(others, f, quietPeriod) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.stops = append(c.stops, plannedStop{vm: f.target, from: now, to: now.Add(stopGracePeriod)})
}

// checkStops checks that planned stops cut no upload that an engine has run; counts holds the runs of each
// request. The caller holds c.mu.
func (c *checker) checkStops(counts map[string]int) {
	for _, stop := range c.stops {
		for id, o := range c.requests {
			isCut := o.err != nil && o.err != errPending && counts[id] > 0
			if isCut && strings.HasPrefix(id, uploadPrefix(stop.vm)) && o.endedAt.After(stop.from) && o.endedAt.Before(stop.to) {
				c.addViolation("LOST", fmt.Sprintf("request %s was passed on and cut %.1f s after SIGTERM: %v", id, o.endedAt.Sub(stop.from).Seconds(), o.err))
			}
		}
	}
}
