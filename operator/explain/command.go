package explain

import (
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"peridotchute.example/common/fault"
)

// Defaults of the time around a request in which changes are included. Both
// cover the expiry of a stopped server's registration, which takes seconds.
const (
	defaultBefore = 10 * time.Second
	defaultAfter  = 5 * time.Second
)

// Command returns the subcommand explain.
func Command() *cobra.Command {
	var w Window
	cmd := &cobra.Command{
		Use:   "explain ID [files]",
		Short: "Explain a request from the logs of several processes",
		Long: "Explain a request from the logs of several processes, read from files or\n" +
			"standard input. Lines may have any prefix before the JSON object.",
		Args: requireID,
		RunE: func(cmd *cobra.Command, args []string) error {
			logs := NewLogs(args[0])
			if err := readFiles(logs, args[1:], cmd.InOrStdin()); err != nil {
				return err
			}
			timeline, err := logs.Timeline(w)
			if err != nil {
				return err
			}
			return timeline.Print(cmd.OutOrStdout())
		},
	}
	cmd.Flags().DurationVar(&w.Before, "before", defaultBefore, "include changes from this long before the request")
	cmd.Flags().DurationVar(&w.After, "after", defaultAfter, "include changes until this long after the request")
	return cmd
}

func requireID(_ *cobra.Command, args []string) error {
	if len(args) == 0 {
		return fault.Newf(fault.KindInvalid, "explain", "", "the id of a request is required")
	}
	return nil
}

func readFiles(logs *Logs, files []string, stdin io.Reader) error {
	if len(files) == 0 {
		return logs.Read("standard input", stdin)
	}
	for _, name := range files {
		if err := readFile(logs, name); err != nil {
			return err
		}
	}
	return nil
}

func readFile(logs *Logs, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return fault.New(fault.KindInvalid, "read log", name, err)
	}
	defer func() { _ = f.Close() }() // opened only for reading
	return logs.Read(name, f)
}
