package origins

import (
	"slices"
	"time"

	"peridotchute.example/fleet"
)

// versions records which software versions of each service were registered within
// recordTTL. It is not safe for concurrent use.
type versions struct {
	seen map[string]map[string]time.Time // by service and version; when last registered
}

func newVersions() versions { return versions{seen: map[string]map[string]time.Time{}} }

// observe applies the registrations of a view. It returns the services in which a
// second version has appeared.
func (v *versions) observe(servers []fleet.Server, now time.Time) (mixed []string) {
	before := map[string]bool{}
	for i := range servers {
		s := &servers[i]
		if _, checked := before[s.Service]; !checked {
			before[s.Service] = v.several(s.Service, now)
		}
		if v.seen[s.Service] == nil {
			v.seen[s.Service] = map[string]time.Time{}
		}
		v.seen[s.Service][s.Software] = now
	}
	for service, wasMixed := range before {
		if !wasMixed && v.several(service, now) {
			mixed = append(mixed, service)
		}
	}
	return mixed
}

// several reports whether more than one version of the service was registered
// within recordTTL.
func (v *versions) several(service string, now time.Time) bool {
	return len(v.recent(service, now)) > 1
}

// recent returns the versions of the service that were registered within recordTTL,
// in order.
func (v *versions) recent(service string, now time.Time) []string {
	var out []string
	for software, at := range v.seen[service] {
		if now.Sub(at) < recordTTL {
			out = append(out, software)
		}
	}
	slices.Sort(out)
	return out
}
