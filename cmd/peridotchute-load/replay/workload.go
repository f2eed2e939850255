package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"peridotchute.example/config"
)

// Arrival is one request of the workload.
type Arrival struct {
	At        time.Duration // since the start, before scaling
	Model     string        // model or adapter
	Prompt    string        // the messages, as JSON
	NewBytes  int           // of Prompt that the session's earlier turns did not have
	MaxTokens int
	Caller    int // chooses the entry
}

// Workload is a replayable sequence of requests.
type Workload struct {
	Arrivals []Arrival
	Length   time.Duration
	Before   map[string]float64 // share of the requests by name, before the shift
}

const (
	zipfExponent  = 1.0
	meanTurns     = 4.0
	meanThink     = 6 * time.Second
	systemBytes   = 4500 // shared by all sessions of a name
	userBytes     = 1800
	answerBytes   = 750
	meanTokens    = 24
	burstEvery    = 15 * time.Second
	burstLength   = 4 * time.Second
	burstFactor   = 1.8
	shiftAt       = 0.4 // of the length
	shiftFactor   = 10.0
	failAt        = 0.65 // of the length
	shiftRankPart = 5    // the name at a fifth of the ranks rises tenfold
)

// Generate returns the workload of a deployment that follows from the seed:
// Zipf over models and adapters, sessions whose turns share their prefix,
// bursts, and one name whose demand rises tenfold.
func Generate(d Deployment, c *config.Configuration, seed uint64, length time.Duration) Workload {
	g := &generator{rnd: rand.New(rand.NewPCG(seed, 1)), length: length}
	for _, m := range c.Models {
		g.names = append(g.names, m.Name)
	}
	for _, a := range c.Adapters {
		g.names = append(g.names, a.Name)
	}
	g.rnd.Shuffle(len(g.names), func(i, j int) { g.names[i], g.names[j] = g.names[j], g.names[i] })
	for i := range g.names {
		g.weights = append(g.weights, 1/math.Pow(float64(i+1), zipfExponent))
	}
	w := Workload{Length: length, Before: g.shares()}
	g.sessions(d.Rate / meanTurns)
	sort.SliceStable(g.out, func(i, j int) bool { return g.out[i].At < g.out[j].At })
	w.Arrivals = g.out
	return w
}

type generator struct {
	rnd     *rand.Rand
	length  time.Duration
	names   []string // most popular first
	weights []float64
	out     []Arrival
}

func (g *generator) shares() map[string]float64 {
	total := 0.0
	for _, w := range g.weights {
		total += w
	}
	out := map[string]float64{}
	for i, name := range g.names {
		out[name] = g.weights[i] / total
	}
	return out
}

// sessions draws the sessions' starts from a Poisson process with bursts. The
// rate before the start of the run fills the turns under way at its beginning.
func (g *generator) sessions(rate float64) {
	shifted := false
	for at := time.Duration(0); at < g.length; {
		now := rate
		if at%burstEvery < burstLength {
			now *= burstFactor
		}
		at += time.Duration(g.rnd.ExpFloat64() / now * float64(time.Second))
		if !shifted && at > time.Duration(shiftAt*float64(g.length)) {
			g.weights[len(g.names)/shiftRankPart] *= shiftFactor
			shifted = true
		}
		g.session(at, g.pick())
	}
}

func (g *generator) pick() string {
	total := 0.0
	for _, w := range g.weights {
		total += w
	}
	x := g.rnd.Float64() * total
	for i, w := range g.weights {
		if x < w {
			return g.names[i]
		}
		x -= w
	}
	return g.names[len(g.names)-1]
}

func (g *generator) session(at time.Duration, name string) {
	caller := g.rnd.IntN(1 << 20)
	messages := []string{message("system", strings.Repeat(name+" answers in full. ", systemBytes/(len(name)+18)))}
	earlier := 0
	for turn := 0; at < g.length; turn++ {
		messages = append(messages, message("user", g.text(userBytes)))
		prompt := "[" + strings.Join(messages, ",") + "]"
		g.out = append(g.out, Arrival{
			At:        at,
			Model:     name,
			Prompt:    prompt,
			NewBytes:  len(prompt) - max(earlier, systemBytes),
			MaxTokens: meanTokens/2 + g.rnd.IntN(meanTokens),
			Caller:    caller,
		})
		earlier = len(prompt)
		if g.rnd.Float64() < 1/meanTurns {
			return
		}
		messages = append(messages, message("assistant", g.text(answerBytes)))
		at += time.Duration(g.rnd.ExpFloat64() * float64(meanThink))
	}
}

// text returns about n bytes that no other prompt has.
func (g *generator) text(n int) string {
	n = n/2 + g.rnd.IntN(n)
	var b strings.Builder
	for b.Len() < n {
		fmt.Fprintf(&b, "%x ", g.rnd.Uint64())
	}
	return b.String()
}

func message(role, content string) string {
	return fmt.Sprintf(`{"role":%q,"content":%q}`, role, content)
}
