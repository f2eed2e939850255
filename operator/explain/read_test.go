package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestParseLine(t *testing.T) {
	const object = `{"time":"2026-01-24T17:20:40.053Z","level":"info","msg":"server left","event":642,"node":"edge-1","run":"8c8b43","offset_ms":3.7,"server":"i-1","view_age_ms":12,"left_out":{"a":1}}`
	type want struct {
		node      string
		collected time.Duration
		timed     bool
	}
	for prefix, w := range map[string]want{
		"":                  {node: "edge-1"},
		"  -9.8443 edge-2 ": {node: "edge-1", collected: -9844300 * time.Microsecond, timed: true},
		"[12s] pod-3 | ":    {node: "edge-1", collected: 12 * time.Second, timed: true},
		"<14>pod-3: ":       {node: "edge-1"},
	} {
		l, ok := ParseLine(prefix + object)
		assert.Assert(t, ok, prefix)
		assert.Equal(t, l.Event, 642)
		assert.Equal(t, l.Name, "server left")
		assert.Equal(t, l.Offset, 3700*time.Microsecond)
		assert.Equal(t, l.Duration("view_age_ms"), 12*time.Millisecond)
		assert.Equal(t, l.Text("left_out"), `{"a":1}`)
		assert.Equal(t, want{l.Node, l.Collected.Round(time.Microsecond), l.HasCollected}, w)
	}
}

func TestParseLineUsesCollectorNode(t *testing.T) {
	l, ok := ParseLine(`1.5 edge-2 {"msg":"peer lost","event":111}`)
	assert.Assert(t, ok)
	assert.Equal(t, l.Node, "edge-2")
	assert.Assert(t, !l.HasOffset)
}

func TestParseLineRejectsOtherOutput(t *testing.T) {
	for _, text := range []string{"", "panic: x", "{", `{"msg":"x"}`, `{"event":"text"}`, `{"event":600`, "{}", "a {b} c"} {
		_, ok := ParseLine(text)
		assert.Assert(t, !ok, text)
	}
}

// processLog returns the log of a process that started at the given wall clock
// time. configs maps configuration versions to the offsets in ms at which the
// process logged them; more lines follow at an offset of 5000 ms.
func processLog(node string, started time.Time, prefix func(offset float64) string, configs map[int]float64, more ...string) string {
	var b strings.Builder
	write := func(offset float64, rest string) {
		clock := started.Add(time.Duration(offset * float64(time.Millisecond)))
		fmt.Fprintf(&b, "%s{\"time\":%q,\"node\":%q,\"run\":\"r\",\"offset_ms\":%v,%s}\n", prefix(offset), clock.Format(time.RFC3339Nano), node, offset, rest)
	}
	write(1, `"msg":"process started","event":100`)
	for version := range 10 {
		if at, ok := configs[version]; ok {
			write(at, fmt.Sprintf(`"msg":"configuration replaced","event":640,"config_version":%d`, version))
		}
	}
	for _, rest := range more {
		write(5000, rest)
	}
	return b.String()
}

func noPrefix(float64) string { return "" }

func TestClockAlignment(t *testing.T) {
	day := time.Date(2026, 1, 24, 12, 0, 0, 0, time.UTC)
	collector := func(started float64) func(float64) string {
		return func(offset float64) string { return fmt.Sprintf("%.3f n ", (started+offset)/1000) }
	}
	// Process b started 3 s after a, but its wall clock is an hour ahead except in
	// the last case.
	cases := map[string]struct {
		a, b   string
		want   time.Duration
		method string
	}{
		"collector": {
			a: processLog("a", day, collector(0), nil, `"request":"x","event":605`),
			b: processLog("b", day.Add(time.Hour), collector(3000), nil), want: 3 * time.Second, method: "by the collector's timestamps",
		},
		"shared events": {
			a:    processLog("a", day, noPrefix, map[int]float64{1: 3500, 2: 4000, 3: 4500}, `"request":"x","event":605`),
			b:    processLog("b", day.Add(time.Hour), noPrefix, map[int]float64{1: 480, 2: 1000, 3: 1590}),
			want: 3 * time.Second, method: "by 3 shared events, which agree within 110ms",
		},
		"wall clocks": {
			a: processLog("a", day, noPrefix, nil, `"request":"x","event":605`),
			b: processLog("b", day.Add(3*time.Second), noPrefix, nil), want: 3 * time.Second, method: "by the VMs' wall clocks, which may differ",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			logs := NewLogs("x")
			assert.NilError(t, logs.Read("b", strings.NewReader(c.b)))
			assert.NilError(t, logs.Read("a", strings.NewReader(c.a)))
			got := logs.align(logs.handlingEntry())[logs.processes[0]]
			assert.Equal(t, got.shift, c.want)
			assert.Equal(t, got.method, c.method)
		})
	}
}

// A process that shares no events with the reference is aligned through a process
// that shares events with both.
func TestClockAlignmentThroughAnotherProcess(t *testing.T) {
	day := time.Date(2026, 1, 24, 12, 0, 0, 0, time.UTC)
	logs := NewLogs("x")
	for _, text := range []string{
		processLog("c", day, noPrefix, map[int]float64{2: 700}),
		processLog("b", day, noPrefix, map[int]float64{1: 500, 2: 800}),
		processLog("a", day, noPrefix, map[int]float64{1: 600}, `"request":"x","event":605`),
	} {
		assert.NilError(t, logs.Read("log", strings.NewReader(text)))
	}
	aligned := logs.align(logs.handlingEntry())
	assert.Equal(t, aligned[logs.processes[1]].shift, 100*time.Millisecond)
	assert.Equal(t, aligned[logs.processes[0]].shift, 200*time.Millisecond)
}

func TestUnknownRequestReportsLinesRead(t *testing.T) {
	logs := NewLogs("y")
	assert.NilError(t, logs.Read("log", strings.NewReader(processLog("a", time.Time{}, noPrefix, nil, `"msg":"log lines left out","event":699`))))
	_, err := logs.Timeline(Window{})
	assert.ErrorContains(t, err, "no line about request y among 2 lines of 1 processes (1 of the lines report omitted lines)")
}

// A request whose process was killed has no end line; the cause must report this.
func TestUnfinishedRequest(t *testing.T) {
	logs := NewLogs("x")
	text := processLog("a", time.Time{}, noPrefix, nil, `"request":"x","msg":"request routed","event":600`,
		`"request":"x","msg":"attempt failed","event":125,"attempt":1,"server":"i-1","kind":"reset","after_ms":12,"not_run":true`)
	assert.NilError(t, logs.Read("log", strings.NewReader(text)))
	timeline, err := logs.Timeline(Window{})
	assert.NilError(t, err)
	assert.DeepEqual(t, timeline.Cause(), []string{
		"No log line ends this request: it is still in progress, or its process was killed first.",
		"Attempt 1 at i-1 failed after 12ms: reset; the server did not run it.",
		"a logged nothing after the last line of this request.",
	})
}
