package origins

import (
	"slices"
	"time"

	"peridotchute.example/fleet"
)

// versions records which software versions of each service are registered or were
// within recordTTL. It is not safe for concurrent use.
type versions struct {
	seen map[string]map[string]sighting // by service and version
}

// sighting is what is known of one software version of a service.
type sighting struct {
	registered bool      // in the latest view
	at         time.Time // if not registered, when the first view without it was applied
}

func newVersions() versions { return versions{seen: map[string]map[string]sighting{}} }

// observe applies the registrations of a view. It returns the services in which a
// second version has appeared.
func (v *versions) observe(servers []fleet.Server, now time.Time) (mixed []string) {
	before := map[string]bool{}
	for service := range v.seen {
		before[service] = v.several(service, now)
	}
	v.leave(now)
	for i := range servers {
		s := &servers[i]
		if v.seen[s.Service] == nil {
			v.seen[s.Service] = map[string]sighting{}
		}
		v.seen[s.Service][s.Software] = sighting{registered: true}
	}
	for service := range v.seen {
		if !before[service] && v.several(service, now) {
			mixed = append(mixed, service)
		}
	}
	return mixed
}

// leave records that all registered versions have left.
func (v *versions) leave(now time.Time) {
	for _, bySoftware := range v.seen {
		for software, s := range bySoftware {
			if s.registered {
				bySoftware[software] = sighting{at: now}
			}
		}
	}
}

// several reports whether more than one version of the service is registered or
// was within recordTTL.
func (v *versions) several(service string, now time.Time) bool {
	return len(v.recent(service, now)) > 1
}

// recent returns the versions of the service that are registered or were within
// recordTTL, in order.
func (v *versions) recent(service string, now time.Time) []string {
	var out []string
	for software, s := range v.seen[service] {
		if s.registered || now.Sub(s.at) < recordTTL {
			out = append(out, software)
		}
	}
	slices.Sort(out)
	return out
}
