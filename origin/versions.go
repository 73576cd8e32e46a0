package origin

import "time"

// versions knows the software versions of each service that serve or have served within the
// retention time.
type versions struct {
	startedAt time.Time
	// leftAt holds when a version's last server left; zero while there is one.
	leftAt map[string]map[string]time.Time
}

func newVersions(now time.Time) *versions {
	return &versions{startedAt: now, leftAt: map[string]map[string]time.Time{}}
}

// set replaces the versions that serve, by service.
func (v *versions) set(now time.Time, serving map[string]map[string]bool) {
	for service, leftAt := range v.leftAt {
		for version, at := range leftAt {
			switch {
			case at.IsZero() && !serving[service][version]:
				leftAt[version] = now
			case !at.IsZero() && now.Sub(at) > retention:
				delete(leftAt, version)
			}
		}
		if len(leftAt) == 0 {
			delete(v.leftAt, service)
		}
	}
	for service, byVersion := range serving {
		if v.leftAt[service] == nil {
			v.leftAt[service] = map[string]time.Time{}
		}
		for version := range byVersion {
			v.leftAt[service][version] = time.Time{}
		}
	}
}

// recent returns the versions of the service that serve or have served within the retention
// time.
func (v *versions) recent(now time.Time, service string) []string {
	var recent []string
	for version, at := range v.leftAt[service] {
		if at.IsZero() || now.Sub(at) <= retention {
			recent = append(recent, version)
		}
	}
	return recent
}

// only returns the version of the service if there has been no other for the retention time, as
// far as this VM has seen.
func (v *versions) only(now time.Time, service string) (version string, ok bool) {
	recent := v.recent(now, service)
	if len(recent) != 1 || now.Sub(v.startedAt) < retention {
		return "", false
	}
	return recent[0], true
}
