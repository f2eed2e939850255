package admission

// Flow identifies the requests of a team for a model, which share one turn in a
// FairQueue.
type Flow struct {
	Team  string
	Model string
}

// FairQueue is a fair queue. It serves the most urgent priority first, serves teams
// in turn within a priority and models in turn within a team, and is FIFO
// within a flow. It is not safe for concurrent use.
type FairQueue[T any] struct {
	levels []level[T] // most urgent first
	size   int
	flows  map[Flow]int // number of elements by flow
}

type level[T any] struct {
	priority int
	teams    []*teamQueue[T] // in the order of their turns
}

type teamQueue[T any] struct {
	team   string
	models []*modelQueue[T] // in the order of their turns
}

type modelQueue[T any] struct {
	model string
	items []T
}

// NewFairQueue returns an empty queue.
func NewFairQueue[T any]() *FairQueue[T] { return &FairQueue[T]{flows: map[Flow]int{}} }

// Len returns the number of elements.
func (q *FairQueue[T]) Len() int { return q.size }

// FlowLen returns the number of elements of a flow, over all priorities.
func (q *FairQueue[T]) FlowLen(f Flow) int { return q.flows[f] }

// Push adds an element at the end of its flow.
func (q *FairQueue[T]) Push(f Flow, priority int, item T) {
	t := q.level(priority).queueOf(f.Team)
	m := t.queueOf(f.Model)
	m.items = append(m.items, item)
	q.size++
	q.flows[f]++
}

// Pop removes and returns the first element in turn for which ready returns
// true. It calls ready for the oldest element of each flow and priority only.
func (q *FairQueue[T]) Pop(ready func(T) bool) (T, bool) {
	for i := range q.levels {
		item, flow, ok := q.levels[i].pop(ready)
		if !ok {
			continue
		}
		q.countRemoved(flow)
		return item, true
	}
	var zero T
	return zero, false
}

// Remove removes all matching elements, for instance those whose caller has
// disconnected, and returns their number.
func (q *FairQueue[T]) Remove(match func(T) bool) int {
	removed := 0
	for i := range q.levels {
		for _, t := range q.levels[i].teams {
			for _, m := range t.models {
				remaining := m.items[:0]
				for _, item := range m.items {
					if !match(item) {
						remaining = append(remaining, item)
						continue
					}
					removed++
					q.countRemoved(Flow{Team: t.team, Model: m.model})
				}
				clear(m.items[len(remaining):])
				m.items = remaining
			}
		}
		q.levels[i].prune()
	}
	return removed
}

func (q *FairQueue[T]) countRemoved(f Flow) {
	q.size--
	if q.flows[f]--; q.flows[f] == 0 {
		delete(q.flows, f)
	}
}

// level returns the level of a priority and creates it if necessary.
func (q *FairQueue[T]) level(priority int) *level[T] {
	at := 0
	for at < len(q.levels) && q.levels[at].priority < priority {
		at++
	}
	if at == len(q.levels) || q.levels[at].priority != priority {
		q.levels = append(q.levels, level[T]{})
		copy(q.levels[at+1:], q.levels[at:])
		q.levels[at] = level[T]{priority: priority}
	}
	return &q.levels[at]
}

func (l *level[T]) queueOf(team string) *teamQueue[T] {
	for _, t := range l.teams {
		if t.team == team {
			return t
		}
	}
	t := &teamQueue[T]{team: team}
	l.teams = append(l.teams, t)
	return t
}

func (t *teamQueue[T]) queueOf(model string) *modelQueue[T] {
	for _, m := range t.models {
		if m.model == model {
			return m
		}
	}
	m := &modelQueue[T]{model: model}
	t.models = append(t.models, m)
	return m
}

// pop removes and returns the first element in turn that is ready, with its
// flow. Its team and model move to the end of their lists.
func (l *level[T]) pop(ready func(T) bool) (T, Flow, bool) {
	for ti, t := range l.teams {
		for mi, m := range t.models {
			if !ready(m.items[0]) {
				continue
			}
			item := m.items[0]
			m.items = m.items[1:]
			t.models = moveToEnd(t.models, mi)
			l.teams = moveToEnd(l.teams, ti)
			l.prune()
			return item, Flow{Team: t.team, Model: m.model}, true
		}
	}
	var zero T
	return zero, Flow{}, false
}

func moveToEnd[E any](s []E, i int) []E {
	e := s[i]
	copy(s[i:], s[i+1:])
	s[len(s)-1] = e
	return s
}

// prune removes empty models and teams.
func (l *level[T]) prune() {
	teams := l.teams[:0]
	for _, t := range l.teams {
		models := t.models[:0]
		for _, m := range t.models {
			if len(m.items) > 0 {
				models = append(models, m)
			}
		}
		clear(t.models[len(models):])
		t.models = models
		if len(models) > 0 {
			teams = append(teams, t)
		}
	}
	clear(l.teams[len(teams):])
	l.teams = teams
}
