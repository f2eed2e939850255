// Package losses counts lost and late requests in the decision logs of entries, by
// route and cause. It derives the cause from the request's own log lines, from the
// models that were loaded while it waited, and from the outcomes of the requests
// just before it at the same entry.
package losses

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"peridotchute.example/common/fault"
	"peridotchute.example/operator/explain"
)

// maxLineBytes is the longest line that is accepted. Lines of a decision log are
// far shorter.
const maxLineBytes = 1 << 20

// Command returns the subcommand.
func Command() *cobra.Command {
	return &cobra.Command{
		Use:   "losses FILE...",
		Short: "Count lost and late requests in entries' decision logs, by route and cause",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			logs := newLogs()
			for _, file := range files {
				if err := readFile(logs, file); err != nil {
					return err
				}
			}
			return logs.table().write(cmd.OutOrStdout())
		},
	}
}

func readFile(logs *logs, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("losses: %w", err)
	}
	defer func() { _ = f.Close() }() // read only
	return logs.read(name, f)
}

// read adds the lines of a file. It skips lines that are not part of a decision
// log, because collectors mix in other output.
func (l *logs) read(name string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := explain.ParseLine(scanner.Text()); ok {
			l.add(line)
		}
	}
	if err := scanner.Err(); err != nil {
		return fault.New(fault.KindInvalid, "read log", name, err)
	}
	return nil
}
