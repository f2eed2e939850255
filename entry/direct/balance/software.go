package balance

import (
	"slices"

	"peridotchute.example/placement/loadplan"
)

// loadSoftware returns the software version of the server that must load the model of a
// request: none if all servers fit the request. It returns false if a load would not help,
// since it could not be placed at a server that fits.
func (p *pool) loadSoftware(w *waiting) (software string, ok bool) {
	if p.allFit(w) {
		return "", true
	}
	return w.software, w.software != "" && p.anyFits(w)
}

// anyFits reports whether some server that may get requests fits the request.
func (p *pool) anyFits(w *waiting) bool {
	return slices.ContainsFunc(p.order, func(s *server) bool { return !s.Draining && w.fits(s) })
}

// countBound adds the software version that the request is bound to, if it is, to the
// demand for its model.
func (w *waiting) countBound(d *loadplan.ModelDemand) {
	if w.software != "" && !slices.Contains(d.Bound, w.software) {
		d.Bound = append(d.Bound, w.software)
	}
}
