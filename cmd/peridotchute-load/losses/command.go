// Package losses tells from entries' decision logs where requests are lost or
// late: a table by route and cause. The cause follows from the request's own
// lines, from the models that became resident while it waited, and from how the
// requests just before it ended at the same entry.
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

// maxLineBytes is the longest line that is read; no line of a decision log
// comes near it.
const maxLineBytes = 1 << 20

// Command returns the subcommand.
func Command() *cobra.Command {
	return &cobra.Command{
		Use:   "losses FILE...",
		Short: "Tell from entries' decision logs where requests are lost or late",
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

// read adds a file's lines; those that are none of a decision log are passed
// over, since collectors mix other output in.
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
