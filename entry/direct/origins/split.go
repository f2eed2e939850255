package origins

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"peridotchute.example/fleet"
)

const (
	// shareUnits is the number of parts into which the streams of a model are divided among
	// the versions that have it.
	shareUnits = 8

	// maxSplitArtifacts bounds a split to about 20 KB. Those at most servers are covered.
	maxSplitArtifacts = 1000
)

// Split says how the resumable streams of a service are divided among its software versions, by
// artifact: the model, or MODEL/ADAPTER. The version that a stream falls to follows from its ID, so
// that an entry which knows nothing but the split can tell it. A split with neither Only nor shares
// covers no artifact.
type Split struct {
	Number int64   `json:"number"`           // a later split has a higher one
	Only   string  `json:"only,omitempty"`   // version of the streams of all artifacts; there are no shares then
	Shares []Share `json:"shares,omitempty"` // no artifact stands in two of them
}

// coversNothing reports whether the split says nothing of any stream.
func (s *Split) coversNothing() bool { return s.Only == "" && len(s.Shares) == 0 }

// versions returns the software versions that the split gives streams to, in order.
func (s *Split) versions() []string {
	if s.Only != "" {
		return []string{s.Only}
	}
	return versionsOf(s.Shares)
}

// Share says how the streams of some artifacts are divided.
type Share struct {
	Artifacts []string       `json:"artifacts"` // sorted
	Weights   map[string]int `json:"weights"`   // by software version; positive
}

// version returns the software version that a stream falls to, or "" if the split does not cover
// its artifact.
func (s *Split) version(artifact, id string) string {
	if artifact == "" {
		return ""
	}
	if s.Only != "" {
		return s.Only
	}
	for i := range s.Shares {
		if _, covered := slices.BinarySearch(s.Shares[i].Artifacts, artifact); covered {
			return s.Shares[i].version(id)
		}
	}
	return ""
}

// version returns the software version that a stream falls to, by highest random weight: a change
// of the weights moves as few streams as possible.
func (s *Share) version(id string) string {
	var chosen string
	var highest uint64
	for software, weight := range s.Weights {
		for i := range weight {
			score := xxhash.Sum64String(software + "\x00" + strconv.Itoa(i) + "\x00" + id)
			if chosen == "" || score > highest || score == highest && software < chosen {
				chosen, highest = software, score
			}
		}
	}
	return chosen
}

// key identifies the weights of a share.
func (s *Share) key() string {
	var parts []string
	for software, weight := range s.Weights {
		parts = append(parts, software+"="+strconv.Itoa(weight))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// equalShares reports whether two splits divide all streams alike. The shares are as sharesOf
// returns them.
func equalShares(a, b []Share) bool {
	return slices.EqualFunc(a, b, func(x, y Share) bool {
		return x.key() == y.key() && slices.Equal(x.Artifacts, y.Artifacts)
	})
}

// sharesOf returns the shares that follow from the servers of a service which have loaded each
// artifact, in a fixed order. Only versions that get streams count.
func sharesOf(servers []fleet.Server, service string, getsStreams func(software string) bool) []Share {
	counts := countServers(servers, service, getsStreams)
	byKey := map[string]*Share{}
	for _, artifact := range coveredArtifacts(counts) {
		share := Share{Weights: weightsOf(counts[artifact])}
		key := share.key()
		if byKey[key] == nil {
			byKey[key] = &share
		}
		byKey[key].Artifacts = append(byKey[key].Artifacts, artifact)
	}
	var out []Share
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		slices.Sort(byKey[key].Artifacts)
		out = append(out, *byKey[key])
	}
	return out
}

// countServers returns how many servers have loaded each artifact, by artifact and software
// version.
func countServers(servers []fleet.Server, service string, getsStreams func(software string) bool) map[string]map[string]int {
	counts := map[string]map[string]int{}
	count := func(artifact, software string) {
		if counts[artifact] == nil {
			counts[artifact] = map[string]int{}
		}
		counts[artifact][software]++
	}
	for i := range servers {
		s := &servers[i]
		if s.Service != service || s.Draining || !getsStreams(s.Software) {
			continue
		}
		for _, resident := range s.Residents {
			count(resident.Model, s.Software)
			for _, adapter := range resident.Adapters {
				count(resident.Model+"/"+adapter, s.Software)
			}
		}
	}
	return counts
}

// coveredArtifacts returns the maxSplitArtifacts artifacts that are loaded at most servers.
func coveredArtifacts(counts map[string]map[string]int) []string {
	artifacts := slices.Sorted(maps.Keys(counts))
	total := map[string]int{}
	for artifact, bySoftware := range counts {
		total[artifact] = sum(bySoftware)
	}
	slices.SortStableFunc(artifacts, func(a, b string) int { return cmp.Compare(total[b], total[a]) })
	return artifacts[:min(len(artifacts), maxSplitArtifacts)]
}

// weightsOf returns the weights of versions with the given numbers of servers.
func weightsOf(servers map[string]int) map[string]int {
	total := sum(servers)
	weights := map[string]int{}
	for software, n := range servers {
		weights[software] = max(1, int(math.Round(shareUnits*float64(n)/float64(total))))
	}
	return weights
}

func sum(counts map[string]int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}
