// Package placement decides which artifacts are resident where, and keeps the
// ledger of a server's accelerator memory. It is pure: no goroutine, no socket.
package placement

import (
	"time"

	"peridotchute.example/common/wire"
)

// Item is a declared artifact as the planner sees it.
type Item struct {
	Artifact wire.Artifact
	Base     wire.Artifact // equal to Artifact for models
	Pool     string
	Bytes    int64
	Replicas int // least number of servers
}

// Worker is one backend server of the cell.
type Worker struct {
	Name        string
	Zone        string
	Pool        string
	MemoryBytes int64
	FreeBytes   int64
	Residents   []wire.Artifact
	Serving     bool
}

// Cell is the snapshot that a plan is made from.
type Cell struct {
	Items   []Item
	Workers []Worker
}

// Demand is the smoothed demand for one artifact.
type Demand struct {
	Artifact wire.Artifact
	Rate     float64       // requests a second
	Service  time.Duration // accelerator time a request takes
}

// Weights say what a plan aims at.
type Weights struct {
	Attainment float64
	Moves      float64
}

// Move loads or unloads one artifact at one worker.
type Move struct {
	Worker   string
	Artifact wire.Artifact
	Unload   bool
	Cost     float64 // in weighted seconds of load
	Gain     float64 // expected, same unit
	Reason   string
}

// Plan returns the moves that bring every item to its least number of
// replicas, in the order in which they should be made.
func Plan(cell Cell, _ []Demand, w Weights, _ time.Time) []Move {
	free := map[string]int64{}
	holds := map[string]map[wire.Artifact]bool{}
	for _, worker := range cell.Workers {
		free[worker.Name] = worker.FreeBytes
		holds[worker.Name] = map[wire.Artifact]bool{}
		for _, a := range worker.Residents {
			holds[worker.Name][a] = true
		}
	}
	var moves []Move
	for _, item := range cell.Items {
		moves = append(moves, missing(cell, item, free, holds, w)...)
	}
	return moves
}

func missing(cell Cell, item Item, free map[string]int64, holds map[string]map[wire.Artifact]bool, w Weights) []Move {
	want := max(item.Replicas, 1)
	for _, worker := range cell.Workers {
		if worker.Serving && holds[worker.Name][item.Artifact] {
			want--
		}
	}
	var moves []Move
	for _, worker := range cell.Workers {
		if want <= 0 {
			break
		}
		fits := worker.Serving && worker.Pool == item.Pool && !holds[worker.Name][item.Artifact] && free[worker.Name] >= item.Bytes
		hasBase := item.Base == item.Artifact || holds[worker.Name][item.Base]
		if !fits || !hasBase {
			continue
		}
		free[worker.Name] -= item.Bytes
		holds[worker.Name][item.Artifact] = true
		moves = append(moves, Move{Worker: worker.Name, Artifact: item.Artifact, Cost: w.Moves, Gain: w.Attainment, Reason: "below its least number of replicas"})
		want--
	}
	return moves
}
