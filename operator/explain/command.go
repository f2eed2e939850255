package explain

import (
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"peridotchute.example/common/fault"
)

// Spans around a request within which changes are told unless flags say
// otherwise: a server's registration lapses within seconds of its end.
const (
	defaultBefore = 10 * time.Second
	defaultAfter  = 5 * time.Second
)

// Command returns the command line's explain command.
func Command() *cobra.Command {
	var w Window
	cmd := &cobra.Command{
		Use:   "explain ID [files]",
		Short: "Tell a request's story from the logs of several processes",
		Long: "Tell a request's story from the logs of several processes, read from files or\n" +
			"standard input. Lines may have anything before the JSON object.",
		Args: needID,
		RunE: func(cmd *cobra.Command, args []string) error {
			logs := NewLogs(args[0])
			if err := readAll(logs, args[1:], cmd.InOrStdin()); err != nil {
				return err
			}
			story, err := logs.Story(w)
			if err != nil {
				return err
			}
			return story.Print(cmd.OutOrStdout())
		},
	}
	cmd.Flags().DurationVar(&w.Before, "before", defaultBefore, "tell changes from this long before the request")
	cmd.Flags().DurationVar(&w.After, "after", defaultAfter, "tell changes until this long after the request")
	return cmd
}

func needID(_ *cobra.Command, args []string) error {
	if len(args) == 0 {
		return fault.Newf(fault.KindInvalid, "explain", "", "the id of a request is required")
	}
	return nil
}

func readAll(logs *Logs, files []string, stdin io.Reader) error {
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
	defer func() { _ = f.Close() }() // nothing was written to it
	return logs.Read(name, f)
}
