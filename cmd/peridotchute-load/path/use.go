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

// sample reads the entry, and all side processes added up.
func (b *bench) sample() (entry, sides procstat.Sample, err error) {
	e := b.c.Entry(1)
	if entry, err = procstat.Read(e.PID(), e.AdminURL()); err != nil {
		return entry, sides, err
	}
	for _, s := range b.c.Sides() {
		one, err := procstat.Read(s.PID(), s.AdminURL())
		if err != nil {
			return entry, sides, err
		}
		sides = sides.Plus(one)
	}
	return entry, sides, nil
}

// use runs f and returns what the entry and the side processes used meanwhile.
func (b *bench) use(ctx context.Context, name string, f func()) (entry, sides procstat.Use, err error) {
	entry0, sides0, err := b.sample()
	if err != nil {
		return entry, sides, err
	}
	var profiles sync.WaitGroup
	errs := make(chan error, 2)
	if b.opts.Profiles != "" {
		profiles.Go(func() { errs <- b.profile(ctx, b.c.Entry(1).AdminURL(), "entry-"+name) })
		profiles.Go(func() { errs <- b.profile(ctx, b.c.Side(1).AdminURL(), "side-"+name) })
	}
	f()
	profiles.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return entry, sides, err
		}
	}
	entry1, sides1, err := b.sample()
	return entry1.Since(entry0), sides1.Since(sides0), err
}

// profile saves two seconds of a processor profile, then what was allocated
// since the start.
func (b *bench) profile(ctx context.Context, admin, name string) error {
	if err := b.save(ctx, admin+"/debug/pprof/profile?seconds=2", name+".pprof"); err != nil {
		return err
	}
	return b.save(ctx, admin+"/debug/pprof/allocs", name+"-allocs.pprof")
}

func (b *bench) save(ctx context.Context, url, name string) error {
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
