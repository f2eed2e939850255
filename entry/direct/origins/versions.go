package origins

import (
	"slices"
	"time"

	"peridotchute.example/fleet"
)

// versions records which software versions of each service are registered or were
// within versionTTL. It is not safe for concurrent use.
type versions struct {
	seen map[string]map[string]sighting // by service and version
}

// sighting is what is known of one software version of a service.
type sighting struct {
	registered bool      // in the latest view
	since      time.Time // when the first view with it, after one without it, was applied
	at         time.Time // if not registered, when the first view without it was applied
}

// recent reports whether the version is registered or was within versionTTL.
func (s sighting) recent(now time.Time) bool { return s.registered || now.Sub(s.at) < versionTTL }

func newVersions() versions { return versions{seen: map[string]map[string]sighting{}} }

// observe applies the registrations of a view.
func (v *versions) observe(servers []fleet.Server, now time.Time) {
	v.leave(servers, now)
	for i := range servers {
		s := &servers[i]
		bySoftware := v.seen[s.Service]
		if bySoftware == nil {
			bySoftware = map[string]sighting{}
			v.seen[s.Service] = bySoftware
		}
		if !bySoftware[s.Software].registered {
			bySoftware[s.Software] = sighting{registered: true, since: now}
		}
	}
}

// leave records which registered versions have left.
func (v *versions) leave(servers []fleet.Server, now time.Time) {
	for service, bySoftware := range v.seen {
		for software, s := range bySoftware {
			if !s.registered || slices.ContainsFunc(servers, func(f fleet.Server) bool { return f.Service == service && f.Software == software }) {
				continue
			}
			bySoftware[software] = sighting{at: now}
		}
	}
}

// several reports whether more than one version of the service is registered or
// was within versionTTL.
func (v *versions) several(service string, now time.Time) bool {
	return len(v.recent(service, now)) > 1
}

// recent returns the versions of the service that are registered or were within
// recordTTL, in order.
func (v *versions) recent(service string, now time.Time) []string {
	return v.list(service, func(s sighting) bool { return s.recent(now) })
}

// registered returns the versions of the service that are registered, in order.
func (v *versions) registered(service string) []string {
	return v.list(service, func(s sighting) bool { return s.registered })
}

func (v *versions) list(service string, include func(sighting) bool) []string {
	var out []string
	for software, s := range v.seen[service] {
		if include(s) {
			out = append(out, software)
		}
	}
	slices.Sort(out)
	return out
}
