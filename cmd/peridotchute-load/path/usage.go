package path

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"

	"peridotchute.example/cmd/peridotchute-load/procstat"
)

// readUsage samples the entry and all side processes, the latter as a sum.
func (b *bench) readUsage() (entry, sides procstat.Sample, err error) {
	e := b.cluster.Entry(1)
	if entry, err = procstat.Read(e.PID(), e.AdminURL()); err != nil {
		return entry, sides, err
	}
	for _, s := range b.cluster.Sides() {
		sample, err := procstat.Read(s.PID(), s.AdminURL())
		if err != nil {
			return entry, sides, err
		}
		sides = sides.Add(sample)
	}
	return entry, sides, nil
}

// measureUsage runs f and returns the resource usage of the entry and of all side
// processes during it.
func (b *bench) measureUsage(ctx context.Context, name string, f func()) (entry, sides procstat.Usage, err error) {
	entryBefore, sidesBefore, err := b.readUsage()
	if err != nil {
		return entry, sides, err
	}
	var profiles sync.WaitGroup
	errs := make(chan error, 2)
	if b.opts.Profiles != "" {
		profiles.Go(func() { errs <- b.profile(ctx, b.cluster.Entry(1).AdminURL(), "entry-"+name) })
		profiles.Go(func() { errs <- b.profile(ctx, b.cluster.Side(1).AdminURL(), "side-"+name) })
	}
	f()
	profiles.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return entry, sides, err
		}
	}
	entryAfter, sidesAfter, err := b.readUsage()
	return entryAfter.Since(entryBefore), sidesAfter.Since(sidesBefore), err
}

// profile saves a CPU profile of two seconds, then a profile of the allocations
// since the start of the process.
func (b *bench) profile(ctx context.Context, admin, name string) error {
	if err := b.download(ctx, admin+"/debug/pprof/profile?seconds=2", name+".pprof"); err != nil {
		return err
	}
	return b.download(ctx, admin+"/debug/pprof/allocs", name+"-allocs.pprof")
}

func (b *bench) download(ctx context.Context, url, name string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: %s", url, resp.Status)
	}
	if err := os.MkdirAll(b.opts.Profiles, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(b.opts.Profiles, name))
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = io.Copy(file, resp.Body)
	return err
}
