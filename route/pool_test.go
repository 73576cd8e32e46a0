package route

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/scripttest"
)

func TestPoolScripts(t *testing.T) {
	scripttest.Run(t, func() scripttest.Step {
		return (&poolScript{now: time.Unix(1000, 0)}).step
	})
}

// poolScript is the state of one script; its time advances only by wait steps.
type poolScript struct {
	now  time.Time
	pool *Pool
}

func (s *poolScript) step(f []string) string {
	var n int
	if len(f) > 2 {
		_, _ = fmt.Sscan(f[2], &n)
	}
	switch f[0] {
	case "policy":
		s.pool = NewPool(Policy(f[1]), rand.New(rand.NewPCG(1, 2)))
	case "vms":
		_, _ = fmt.Sscan(f[1], &n)
		s.pool.SetVMs(n)
	case "servers": // id:slots[:leaving]
		s.pool.SetServers(s.now, parseServers(f[1:]))
	case "wait":
		d, _ := time.ParseDuration(f[1])
		s.now = s.now.Add(d)
	case "report":
		s.pool.Report(s.now, f[1], bergamotgrade.LoadReport{Running: n})
	case "start":
		for range max(1, n) {
			s.pool.Start(f[1])
		}
	case "finish":
		s.pool.Finish(s.now, f[1], OutcomeOK)
	case "fail":
		s.pool.Start(f[1])
		return fmt.Sprintf("ejected=%t", s.pool.Finish(s.now, f[1], OutcomeFailed))
	case "pick": // pick COUNT [prefix=N] [avoid=ID]; returns the number of picks of each server
		return s.pick(f[1:])
	}
	return ""
}

func parseServers(fields []string) []bergamotgrade.BackendServer {
	var servers []bergamotgrade.BackendServer
	for _, field := range fields {
		parts := strings.Split(field, ":")
		server := bergamotgrade.BackendServer{BackendServerID: parts[0], Leaving: len(parts) > 2}
		_, _ = fmt.Sscan(parts[1], &server.Slots)
		servers = append(servers, server)
	}
	return servers
}

func (s *poolScript) pick(f []string) string {
	var count int
	_, _ = fmt.Sscan(f[0], &count)
	request := Request{Avoid: map[string]bool{}}
	for _, field := range f[1:] {
		name, value, _ := strings.Cut(field, "=")
		if name == "prefix" {
			_, _ = fmt.Sscan(value, &request.PrefixHash)
		} else {
			request.Avoid[value] = true
		}
	}
	picked := map[string]int{}
	for range count {
		server, ok := s.pool.Pick(s.now, request)
		if !ok {
			server.BackendServerID = "none"
		}
		picked[server.BackendServerID]++
	}
	return strings.TrimPrefix(fmt.Sprint(picked), "map")
}
