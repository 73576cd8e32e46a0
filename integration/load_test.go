package integration

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// loadSpec describes an open-loop load of one team on some VMs.
type loadSpec struct {
	vms                     []string
	key, background         string
	rate, limit, burst      float64
	length                  time.Duration
	maxRefused, minAdmitted float64
	// balanced bypasses the proxies and, as a load balancer does, skips VMs that refuse
	// connections.
	balanced bool
}

// loadCount counts the requests of a load by outcome.
type loadCount struct {
	sent, admitted, refused, failed int
	took                            time.Duration
}

func parseLoad(ts *testscript.TestScript, args []string) loadSpec {
	spec := loadSpec{vms: []string{"vm1"}, key: "trust-key", rate: 10, length: time.Second, maxRefused: 1}
	number := func(value string) float64 {
		parsed, err := strconv.ParseFloat(value, 64)
		ts.Check(err)
		return parsed
	}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		switch name {
		case "vms":
			spec.vms = strings.Split(value, ",")
		case "balanced":
			spec.balanced = true
		case "key":
			spec.key = value
		case "background":
			spec.background = value
		case "rate":
			spec.rate = number(value)
		case "limit":
			spec.limit = number(value)
		case "burst":
			spec.burst = number(value)
		case "for":
			length, err := time.ParseDuration(value)
			ts.Check(err)
			spec.length = length
		case "max-refused":
			spec.maxRefused = number(value)
		case "min-admitted":
			spec.minAdmitted = number(value)
		default:
			ts.Fatalf("unknown load argument %q", arg)
		}
	}
	return spec
}

// cmdLoad sends requests at a fixed rate, regardless of the responses, to the VMs in
// turn. It fails if more requests were admitted than limit and burst allow, if the
// refused fraction exceeds max-refused, or if fewer were admitted than the fraction
// min-admitted of what the limit allows. A failed request may have been admitted or not,
// so it counts as admitted for the upper bound and as refused for the two others.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	spec := parseLoad(ts, args)
	if spec.background == "" {
		text, err := spec.evaluate(spec.run(f))
		_, _ = io.WriteString(ts.Stdout(), text)
		ts.Check(err)
		return
	}
	j := &backgroundJob{done: make(chan struct{})}
	f.jobs[spec.background] = j
	go j.runLoad(f, spec)
}

// runLoad runs a load in the background and stores its outcome for cmdAnswers.
func (j *backgroundJob) runLoad(f *fleet, spec loadSpec) {
	defer close(j.done)
	text, err := spec.evaluate(spec.run(f))
	j.output = text
	if err != nil {
		j.output += "FAILED: " + err.Error() + "\n"
	}
}

func (s loadSpec) run(f *fleet) loadCount {
	var count loadCount
	var mu sync.Mutex
	var requests sync.WaitGroup
	startedAt := time.Now()
	total := int(s.rate * s.length.Seconds())
	for i := range total {
		time.Sleep(time.Until(startedAt.Add(time.Duration(float64(i) / s.rate * float64(time.Second)))))
		requests.Go(func() {
			answer := s.send(f, i)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case strings.HasPrefix(answer, "200"):
				count.admitted++
			case strings.Contains(answer, "X-Not-Run: true"):
				count.refused++
			default:
				count.failed++
			}
		})
	}
	requests.Wait()
	count.sent, count.took = total, time.Since(startedAt)
	return count
}

// send sends one request to the VM whose turn it is; a balanced load goes on to the next
// VM when the connection is refused.
func (s loadSpec) send(f *fleet, turn int) string {
	spec := requestSpec{key: s.key, method: "GET", path: "/v1/services/manifests/lots", timeout: 10 * time.Second}
	answer := "no VM accepts connections"
	for attempt := range len(s.vms) {
		spec.vm = s.vms[(turn+attempt)%len(s.vms)]
		spec.address = f.proxies[spec.vm].Address()
		if !s.balanced {
			return f.send(spec)
		}
		spec.address = f.direct[spec.vm]
		if answer = f.send(spec); answer != notConnected {
			break
		}
	}
	return answer
}

func (s loadSpec) evaluate(count loadCount) (string, error) {
	text := fmt.Sprintf("sent %d admitted %d refused %d failed %d in %.1fs\n", count.sent, count.admitted, count.refused, count.failed, count.took.Seconds())
	if allowed := s.burst + s.limit*count.took.Seconds(); s.limit > 0 && float64(count.admitted+count.failed) > allowed {
		return text, fmt.Errorf("%d admitted, %.1f allowed", count.admitted+count.failed, allowed)
	}
	if share := float64(count.refused+count.failed) / float64(count.sent); share > s.maxRefused {
		return text, fmt.Errorf("share %.4f refused, %.4f allowed", share, s.maxRefused)
	}
	if least := s.minAdmitted * s.limit * s.length.Seconds(); float64(count.admitted) < least {
		return text, fmt.Errorf("%d admitted, at least %.1f expected", count.admitted, least)
	}
	return text, nil
}
