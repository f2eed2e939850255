// Package procstat reads what a process has used so far: processor time,
// memory and system calls from /proc, allocations from its expvar listener.
package procstat

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/procfs"
)

// Sample is what a process has used up to one moment.
type Sample struct {
	At            time.Time
	CPU           time.Duration // user and system
	ResidentBytes int
	Writes        uint64 // write system calls, those on sockets included
	Vars          Vars
}

// Vars are the expvar values that the measurements read.
type Vars struct {
	BytesRead    int64    `json:"rpc_bytes_read"`
	BytesWritten int64    `json:"rpc_bytes_written"`
	Mem          MemStats `json:"memstats"`
}

// MemStats is the part of runtime.MemStats that the measurements read.
type MemStats struct {
	Mallocs    uint64 // objects allocated, in all
	TotalAlloc uint64 // bytes allocated, in all
	HeapAlloc  uint64 // bytes in use
}

// Read samples the process. admin is the base URL of its administration
// listener; "" leaves Vars empty.
func Read(pid int, admin string) (Sample, error) {
	s := Sample{At: time.Now()}
	proc, err := procfs.NewProc(pid)
	if err != nil {
		return s, fmt.Errorf("process %d: %w", pid, err)
	}
	stat, err := proc.Stat()
	if err != nil {
		return s, fmt.Errorf("process %d: %w", pid, err)
	}
	s.CPU = time.Duration(stat.CPUTime() * float64(time.Second))
	s.ResidentBytes = stat.ResidentMemory()
	io, err := proc.IO()
	if err != nil {
		return s, fmt.Errorf("process %d: %w", pid, err)
	}
	s.Writes = io.SyscW
	if admin == "" {
		return s, nil
	}
	return s, readVars(admin, &s.Vars)
}

func readVars(admin string, vars *Vars) error {
	resp, err := http.Get(admin + "/debug/vars")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(vars)
}

// Use is what a process used between two samples.
type Use struct {
	Time    time.Duration
	CPU     time.Duration
	Writes  uint64
	Mallocs uint64
	Alloc   uint64 // bytes allocated
	Read    int64  // bytes of control connections
	Written int64
}

// Since returns the use between the earlier sample and s.
func (s Sample) Since(earlier Sample) Use {
	return Use{
		Time:    s.At.Sub(earlier.At),
		CPU:     s.CPU - earlier.CPU,
		Writes:  s.Writes - earlier.Writes,
		Mallocs: s.Vars.Mem.Mallocs - earlier.Vars.Mem.Mallocs,
		Alloc:   s.Vars.Mem.TotalAlloc - earlier.Vars.Mem.TotalAlloc,
		Read:    s.Vars.BytesRead - earlier.Vars.BytesRead,
		Written: s.Vars.BytesWritten - earlier.Vars.BytesWritten,
	}
}

// Core returns the share of one core that was used, 1 for a whole core.
func (u Use) Core() float64 { return u.CPU.Seconds() / u.Time.Seconds() }

// Plus adds up two processes sampled at about the same time.
func (s Sample) Plus(other Sample) Sample {
	if s.At.IsZero() {
		return other
	}
	s.CPU += other.CPU
	s.ResidentBytes += other.ResidentBytes
	s.Writes += other.Writes
	s.Vars.BytesRead += other.Vars.BytesRead
	s.Vars.BytesWritten += other.Vars.BytesWritten
	s.Vars.Mem.Mallocs += other.Vars.Mem.Mallocs
	s.Vars.Mem.TotalAlloc += other.Vars.Mem.TotalAlloc
	s.Vars.Mem.HeapAlloc += other.Vars.Mem.HeapAlloc
	return s
}
