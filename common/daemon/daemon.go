// Package daemon provides what all long-running programs share: the command
// line, loading of the settings file, logging and graceful shutdown.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"peridotchute.example/common/settings"
)

// Exit codes of the daemons.
const (
	ExitFailure     = 1 // the process failed while starting or running
	ExitBadSettings = 2 // the settings file is invalid; no port was opened
)

// SettingsFile is the path of the process's settings file.
type SettingsFile string

// StopTimeout bounds a graceful shutdown; streams in progress may take minutes.
const StopTimeout = 15 * time.Minute

// Command returns the cobra command of a daemon whose settings have type S.
// options returns the fx options of the process for its validated settings.
func Command[S any](name, short string, options func(S) fx.Option) *cobra.Command {
	var path string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:           name,
		Short:         short,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load[S](path)
			if err != nil {
				return err
			}
			if checkOnly {
				fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				return nil
			}
			return Run(options(s), fx.Supply(SettingsFile(path)))
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file, JSON with comments")
	cmd.Flags().BoolVar(&checkOnly, "check-settings", false, "check the settings file and exit")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// Main executes a command. On an error it prints the error and exits with
// ExitBadSettings or ExitFailure.
func Main(cmd *cobra.Command) {
	err := cmd.Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var settingsErr *settings.Error
	if errors.As(err, &settingsErr) {
		os.Exit(ExitBadSettings)
	}
	os.Exit(ExitFailure)
}

// heapBallast is the size in bytes of an allocation that counts as live heap but
// is never touched, so that it uses address space only. The garbage collector
// starts at twice the live heap; without the ballast, a process with a few
// megabytes of live heap would collect many times a second.
const heapBallast = 12 << 20

// Run starts the application, waits for SIGTERM or SIGINT, and stops it
// gracefully. It returns an error if the start or the stop fails.
func Run(options ...fx.Option) error {
	ballast := make([]byte, heapBallast)
	defer runtime.KeepAlive(ballast)
	app := fx.New(append(options, Logging())...)
	if err := app.Err(); err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(context.Background(), fx.DefaultTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return err
	}
	<-app.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), StopTimeout)
	defer cancel()
	return app.Stop(stopCtx)
}

// Logging provides the process's logger and disables fx's own log.
func Logging() fx.Option {
	return fx.Options(
		fx.Provide(NewLogger),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
}

// NewLogger returns a logger that writes JSON to standard error.
func NewLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return log
}
