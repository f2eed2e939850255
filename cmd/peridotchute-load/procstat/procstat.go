// Package procstat reads the resource usage of a process: processor time, memory
// and system calls from /proc, allocations and control traffic from expvar.
package procstat

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/procfs"
)

// Sample is the cumulative resource usage of a process at one moment.
type Sample struct {
	At            time.Time
	CPU           time.Duration // user and system
	ResidentBytes int
	Writes        uint64 // write system calls, including those on sockets
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
	Mallocs    uint64 // cumulative count of allocated objects
	TotalAlloc uint64 // cumulative allocated bytes
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

// Usage is the resource usage of a process between two samples.
type Usage struct {
	Elapsed        time.Duration
	CPU            time.Duration
	Writes         uint64
	Mallocs        uint64
	AllocBytes     uint64
	ControlRead    int64 // bytes on control connections
	ControlWritten int64 // bytes on control connections
}

// Since returns the resource usage between the earlier sample and s.
func (s Sample) Since(earlier Sample) Usage {
	return Usage{
		Elapsed:        s.At.Sub(earlier.At),
		CPU:            s.CPU - earlier.CPU,
		Writes:         s.Writes - earlier.Writes,
		Mallocs:        s.Vars.Mem.Mallocs - earlier.Vars.Mem.Mallocs,
		AllocBytes:     s.Vars.Mem.TotalAlloc - earlier.Vars.Mem.TotalAlloc,
		ControlRead:    s.Vars.BytesRead - earlier.Vars.BytesRead,
		ControlWritten: s.Vars.BytesWritten - earlier.Vars.BytesWritten,
	}
}

// Cores returns the mean number of processor cores in use.
func (u Usage) Cores() float64 { return u.CPU.Seconds() / u.Elapsed.Seconds() }

// Add returns the sum of s and the sample of another process. The result has the
// time of s; if s is zero, Add returns other.
func (s Sample) Add(other Sample) Sample {
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
