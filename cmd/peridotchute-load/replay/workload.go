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
	NewBytes  int           // bytes of Prompt that are not in the session's previous prompt or the system message
	MaxTokens int
	Caller    int // random per session; chooses the entry
}

// Workload is a sequence of requests, the earliest first.
type Workload struct {
	Arrivals      []Arrival
	Length        time.Duration
	InitialShares map[string]float64 // share of requests by name before the demand shift
}

const (
	zipfExponent     = 1.0
	meanTurns        = 4.0
	meanThinkTime    = 6 * time.Second
	systemBytes      = 4500 // system message, shared by all sessions of a name
	userBytes        = 1800 // mean size of a user message
	answerBytes      = 750  // mean size of an answer in later prompts
	meanAnswerTokens = 24
	burstInterval    = 15 * time.Second
	burstLength      = 4 * time.Second
	burstFactor      = 1.8
	shiftAt          = 0.4 // share of the length at which the demand shifts
	shiftFactor      = 10.0
	killAt           = 0.65 // share of the length at which a server is killed
	shiftRankDivisor = 5    // the demand of the name at rank (number of names) / 5 shifts
)

// Generate returns a workload determined by the seed: a Zipf distribution over models
// and adapters, sessions whose turns share a prefix, bursts, and one name whose demand
// rises by shiftFactor.
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
	w := Workload{Length: length, InitialShares: g.shares()}
	g.addSessions(d.Rate / meanTurns)
	sort.SliceStable(g.arrivals, func(i, j int) bool { return g.arrivals[i].At < g.arrivals[j].At })
	w.Arrivals = g.arrivals
	return w
}

type generator struct {
	rnd      *rand.Rand
	length   time.Duration
	names    []string // most popular first
	weights  []float64
	arrivals []Arrival
}

// shares returns the current share of requests by name.
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

// addSessions adds sessions that start by a Poisson process with bursts. rate is the
// mean number of sessions per second outside bursts.
func (g *generator) addSessions(rate float64) {
	shifted := false
	for at := time.Duration(0); at < g.length; {
		currentRate := rate
		if at%burstInterval < burstLength {
			currentRate *= burstFactor
		}
		at += time.Duration(g.rnd.ExpFloat64() / currentRate * float64(time.Second))
		if !shifted && at > time.Duration(shiftAt*float64(g.length)) {
			g.weights[len(g.names)/shiftRankDivisor] *= shiftFactor
			shifted = true
		}
		g.addSession(at, g.pickName())
	}
}

// pickName returns a random name in proportion to the weights.
func (g *generator) pickName() string {
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

// addSession adds the requests of one session.
func (g *generator) addSession(at time.Duration, name string) {
	caller := g.rnd.IntN(1 << 20)
	messages := []string{message("system", strings.Repeat(name+" answers in full. ", systemBytes/(len(name)+18)))}
	previousBytes := 0
	for turn := 0; at < g.length; turn++ {
		messages = append(messages, message("user", g.uniqueText(userBytes)))
		prompt := "[" + strings.Join(messages, ",") + "]"
		g.arrivals = append(g.arrivals, Arrival{
			At:        at,
			Model:     name,
			Prompt:    prompt,
			NewBytes:  len(prompt) - max(previousBytes, systemBytes),
			MaxTokens: meanAnswerTokens/2 + g.rnd.IntN(meanAnswerTokens),
			Caller:    caller,
		})
		previousBytes = len(prompt)
		if g.rnd.Float64() < 1/meanTurns {
			return
		}
		messages = append(messages, message("assistant", g.uniqueText(answerBytes)))
		at += time.Duration(g.rnd.ExpFloat64() * float64(meanThinkTime))
	}
}

// uniqueText returns random text of a random length of about n bytes.
func (g *generator) uniqueText(n int) string {
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
