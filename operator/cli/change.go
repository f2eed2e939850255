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
		Short: "Check a declaration and print all problems",
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
	cmd.Flags().BoolVar(&online, "online", false, "also check against the backend servers of the deployment")
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
	return withFileName(c.Validate(ctx, raw), file)
}

func (s *session) plan() *cobra.Command {
	return &cobra.Command{
		Use:   "plan FILE",
		Short: "Print the effects of accepting a declaration without changing anything",
		Args:  exactArgs("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := readFile(args[0])
			if err != nil {
				return err
			}
			return s.printPlan(cmd, func(c *operator.Client) (*api.Plan, error) {
				p, err := c.Plan(cmd.Context(), raw)
				return p, withFileName(err, args[0])
			})
		},
	}
}

func (s *session) revert() *cobra.Command {
	return &cobra.Command{
		Use:   "revert VERSION",
		Short: "Plan a new version with the contents of an earlier one without changing anything",
		Args:  exactArgs("VERSION"),
		RunE: func(cmd *cobra.Command, args []string) error {
			version, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return usagef("%q is not a version", args[0])
			}
			return s.printPlan(cmd, func(c *operator.Client) (*api.Plan, error) { return c.Revert(cmd.Context(), version) })
		},
	}
}

func (s *session) printPlan(cmd *cobra.Command, plan func(*operator.Client) (*api.Plan, error)) error {
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

// incompleteRolloutError reports that an accepted version is not active at every
// process yet.
type incompleteRolloutError struct {
	rollout operator.Rollout
}

// Error lists the processes with an older version.
func (e *incompleteRolloutError) Error() string {
	return fmt.Sprintf("version %d is accepted, but %d processes have not activated it yet: %s",
		e.rollout.Version, len(e.rollout.Behind), strings.Join(e.rollout.Behind, ", "))
}

func (s *session) accept() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "accept DIGEST",
		Short: "Accept the plan with this digest and wait for its rollout",
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
	cmd.Flags().DurationVar(&wait, "wait", 30*time.Second, "how long to wait until every process has the version; 0 returns at once")
	return cmd
}

// follow prints the rollout progress of a version to standard error. It returns
// an incompleteRolloutError if wait ends first; with wait 0 it returns at once.
func (s *session) follow(cmd *cobra.Command, c *operator.Client, version uint64, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), wait)
	defer cancel()
	rollout, err := c.Follow(ctx, version, func(p operator.Rollout) {
		fmt.Fprintf(cmd.ErrOrStderr(), "version %d: %d of %d processes\n", p.Version, p.Updated, p.Updated+len(p.Behind))
	})
	if err != nil {
		return &incompleteRolloutError{rollout: rollout}
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

// withFileName converts the problems in an error response of the API to a
// *settings.Error that names the file. It returns other errors unchanged.
func withFileName(err error, file string) error {
	var e *operator.APIError
	if !errors.As(err, &e) || len(e.Body.Problems) == 0 {
		return err
	}
	problems := e.Body.Problems
	for i := range problems {
		problems[i].File = file
	}
	return &settings.Error{Problems: problems}
}
