package direct

import (
	"context"

	"peridotchute.example/admission/quota"
	"peridotchute.example/common/fault"
	"peridotchute.example/entry/direct/mesh"
	"peridotchute.example/entry/direct/quotas"
)

// quotaPeers implements quotas.Peers over the mesh.
type quotaPeers struct{ c *coordination }

// Candidates implements quotas.Peers.
func (p quotaPeers) Candidates() []quotas.Candidate {
	out := []quotas.Candidate{{Name: p.c.name, Processor: p.c.processor}}
	for _, id := range p.c.mesh.ConnectedIdentities() {
		out = append(out, quotas.Candidate{Name: id.Name, Processor: id.Processor})
	}
	return out
}

// Entries implements quotas.Peers.
func (p quotaPeers) Entries() int {
	n, _ := p.c.mesh.Entries()
	return n
}

// Exchange implements quotas.Peers.
func (p quotaPeers) Exchange(ctx context.Context, pool string, e quotas.Exchange) (answers quotas.Answers, sent bool, err error) {
	answers, err = mesh.Call[quotas.Exchange, quotas.Answers](ctx, p.c.mesh, pool, methodQuotas, e)
	return answers, !fault.Is(err, fault.KindUnavailable), err
}

// handleQuotas registers the message of entries that have chosen this one as the pool of quotas.
func (c *coordination) handleQuotas() {
	mesh.Handle(c.mesh, methodQuotas, func(_ context.Context, from string, e quotas.Exchange) (quotas.Answers, error) {
		return c.quotas.Answer(from, e), nil
	})
}

func quotaBounds(s Settings) quota.Bounds {
	return quota.Bounds{Window: seconds(s.QuotaWindowS), Overage: s.QuotaOverage, Slack: s.QuotaSlack}
}
