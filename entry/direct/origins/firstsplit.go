package origins

import (
	"cmp"
	"slices"
)

// firstSplit returns the split of a service whose second version is announced: it gives all streams
// to the version of before, at which all have begun. Of versions that appear together, none of which
// has got a stream, it takes that of most servers. If the only version leaves as another comes it covers nothing.
func (in *splitInputs) firstSplit() Split {
	split := Split{Number: in.nextNumber}
	switch len(in.before) {
	case 0:
		split.Only = in.mostServers()
	case 1:
		for software, s := range in.before {
			if s == stageSettled && in.stages[software] == stageSettled {
				split.Only = software
			}
		}
	}
	return split
}

// mostServers returns the settled version of most servers.
func (in *splitInputs) mostServers() string {
	var settled []string
	for software, s := range in.stages {
		if s == stageSettled {
			settled = append(settled, software)
		}
	}
	if len(settled) == 0 {
		return ""
	}
	return slices.MinFunc(settled, func(a, b string) int {
		return cmp.Or(cmp.Compare(in.servers[b], in.servers[a]), cmp.Compare(a, b))
	})
}
