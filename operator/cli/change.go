package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"peridotchute.example/common/settings"
	"peridotchute.example/config"
	"peridotchute.example/operator"
	"peridotchute.example/operator/api"
)

func (s *session) validate() *cobra.Command {
	var online bool
	cmd := &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a declaration and print everything wrong with it",
		Args:  exactArgs("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := readFile(args[0])
			if err != nil {
				return err
			}
			if err := s.checkFile(cmd.Context(), args[0], raw, online); err != nil {
				return err
			}
			return s.print(cmd, api.ValidateReply{Valid: true}, func() { fmt.Fprintln(cmd.OutOrStdout(), "the declaration is valid") })
		},
	}
	cmd.Flags().BoolVar(&online, "online", false, "check against the backend servers of the deployment as well")
	return cmd
}

func (s *session) checkFile(ctx context.Context, file string, raw []byte, online bool) error {
	if !online {
		_, err := config.Parse(file, raw, nil)
		return err
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	return inFile(c.Validate(ctx, raw), file)
}

func (s *session) plan() *cobra.Command {
	return &cobra.Command{
		Use:   "plan FILE",
		Short: "Print what accepting a declaration would cause; change nothing",
		Args:  exactArgs("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := readFile(args[0])
			if err != nil {
				return err
			}
			return s.planned(cmd, func(c *operator.Client) (*api.Plan, error) {
				p, err := c.Plan(cmd.Context(), raw)
				return p, inFile(err, args[0])
			})
		},
	}
}

func (s *session) revert() *cobra.Command {
	return &cobra.Command{
		Use:   "revert VERSION",
		Short: "Plan a new version that equals an earlier one; change nothing",
		Args:  exactArgs("VERSION"),
		RunE: func(cmd *cobra.Command, args []string) error {
			version, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return usagef("%q is not a version", args[0])
			}
			return s.planned(cmd, func(c *operator.Client) (*api.Plan, error) { return c.Revert(cmd.Context(), version) })
		},
	}
}

func (s *session) planned(cmd *cobra.Command, plan func(*operator.Client) (*api.Plan, error)) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	p, err := plan(c)
	if err != nil {
		return err
	}
	return s.print(cmd, p, func() { _ = operator.PrintPlan(cmd.OutOrStdout(), p) })
}

// spreadingError says that a version is not everywhere yet.
type spreadingError struct {
	spread operator.Spread
}

// Error names the members that are behind.
func (e *spreadingError) Error() string {
	return fmt.Sprintf("version %d is accepted, but %d processes have not put it in force yet: %s",
		e.spread.Version, len(e.spread.Behind), strings.Join(e.spread.Behind, ", "))
}

func (s *session) accept() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "accept DIGEST",
		Short: "Put the plan with this digest in force and watch it spread",
		Args:  exactArgs("DIGEST"),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := s.client()
			if err != nil {
				return err
			}
			reply, err := c.Accept(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			if err := s.print(cmd, reply, func() { fmt.Fprintf(cmd.OutOrStdout(), "accepted as version %d\n", reply.Version) }); err != nil {
				return err
			}
			return s.follow(cmd, c, reply.Version, wait)
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 30*time.Second, "longest wait until every process has it; 0 returns at once")
	return cmd
}

// follow shows the progress of a version on standard error.
func (s *session) follow(cmd *cobra.Command, c *operator.Client, version uint64, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), wait)
	defer cancel()
	spread, err := c.Follow(ctx, version, func(p operator.Spread) {
		fmt.Fprintf(cmd.ErrOrStderr(), "version %d: %d of %d processes\n", p.Version, p.Have, p.Have+len(p.Behind))
	})
	if err != nil {
		return &spreadingError{spread: spread}
	}
	return nil
}

func readFile(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, usagef("%v", err)
	}
	return raw, nil
}

// inFile turns the problems that the API found into problems of a file.
func inFile(err error, file string) error {
	var r *operator.Refusal
	if !errors.As(err, &r) || len(r.Body.Problems) == 0 {
		return err
	}
	problems := r.Body.Problems
	for i := range problems {
		problems[i].File = file
	}
	return &settings.Error{Problems: problems}
}
