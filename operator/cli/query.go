package cli

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"peridotchute.example/operator"
	"peridotchute.example/operator/api"
)

// queryCommand returns a command without arguments that calls fetch and prints the result.
func queryCommand[T any](s *session, use, short string, fetch func(*cobra.Command, *operator.Client) (*T, error), printText func(*cobra.Command, *T)) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := s.client()
			if err != nil {
				return err
			}
			v, err := fetch(cmd, c)
			if err != nil {
				return err
			}
			return s.print(cmd, v, func() { printText(cmd, v) })
		},
	}
}

func (s *session) status() *cobra.Command {
	fetch := func(cmd *cobra.Command, c *operator.Client) (*api.Status, error) { return c.Status(cmd.Context()) }
	return queryCommand(s, "status", "Show the active version and which processes have it", fetch, showStatus)
}

func showStatus(cmd *cobra.Command, st *api.Status) {
	out := cmd.OutOrStdout()
	rollout := operator.RolloutOf(st, st.Head)
	fmt.Fprintf(out, "version %d active at %s, %d accepted last, %d of %d processes have it\n",
		st.Version, st.Entry, st.Head, rollout.Updated, rollout.Updated+len(rollout.Behind))
	if st.StoreErr != "" {
		fmt.Fprintln(out, "! cannot read the platform's store:", st.StoreErr)
	}
	t := newTable("process", "role", "zone", "pool", "state", "version")
	for _, m := range st.Members {
		t.add(m.Name, m.Role, m.Zone, m.Pool, m.State, m.Version)
	}
	t.write(cmd)
}

func (s *session) history() *cobra.Command {
	limit := 20
	fetch := func(cmd *cobra.Command, c *operator.Client) (*api.History, error) {
		return c.History(cmd.Context(), limit)
	}
	cmd := queryCommand(s, "history", "List accepted versions, newest first", fetch, func(cmd *cobra.Command, h *api.History) {
		t := newTable("version", "accepted", "operator", "digest")
		for _, v := range h.Versions {
			t.add(v.Version, v.At.Format(time.RFC3339), v.Operator, v.Digest)
		}
		t.write(cmd)
	})
	cmd.Flags().IntVar(&limit, "limit", limit, "maximum number of versions listed")
	return cmd
}

func (s *session) audit() *cobra.Command {
	var after string
	fetch := func(cmd *cobra.Command, c *operator.Client) (*api.Audit, error) { return c.Audit(cmd.Context(), after) }
	cmd := queryCommand(s, "audit", "List operations by operators, oldest first", fetch, func(cmd *cobra.Command, a *api.Audit) {
		t := newTable("at", "operator", "action", "subject", "result", "id")
		for _, r := range a.Records {
			t.add(r.At.Format(time.RFC3339), r.Operator, r.Action, r.Subject, r.Result, r.ID)
		}
		t.write(cmd)
	})
	cmd.Flags().StringVar(&after, "after", "", "list records after the one with this id; without it those of the last 24 hours")
	return cmd
}

func (s *session) dump() *cobra.Command {
	return &cobra.Command{
		Use:   "dump",
		Short: "Print the internal state of the responding entry as JSON",
		Args:  exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := s.client()
			if err != nil {
				return err
			}
			raw, err := c.Dump(cmd.Context())
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), string(*raw))
			return err
		},
	}
}

func (s *session) show() *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Print the active configuration as an editable declaration",
		Args:  exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := s.client()
			if err != nil {
				return err
			}
			current, err := c.Configuration(cmd.Context())
			if err != nil {
				return err
			}
			current.ChangeID = ""
			return writeJSON(cmd, current)
		},
	}
}

func (s *session) unresolved() *cobra.Command {
	var after string
	fetch := func(cmd *cobra.Command, c *operator.Client) (*api.UnresolvedList, error) {
		return c.Unresolved(cmd.Context(), after)
	}
	cmd := queryCommand(s, "unresolved", "List actions whose outcome the system cannot determine", fetch, func(cmd *cobra.Command, l *api.UnresolvedList) {
		t := newTable("team", "key", "attempt", "server", "since", "reason")
		for _, u := range l.Actions {
			t.add(u.Team, u.Key, u.Attempt, u.Server, u.ClaimedAt.Format(time.RFC3339), u.Reason)
		}
		t.write(cmd)
		if l.Next != "" {
			fmt.Fprintf(cmd.OutOrStdout(), "more: peridotchute unresolved --after %q\n", l.Next)
		}
	})
	cmd.Flags().StringVar(&after, "after", "", "list actions after this one")
	return cmd
}

func (s *session) settle() *cobra.Command {
	var ran, notRun bool
	var note string
	cmd := &cobra.Command{
		Use:   "settle TEAM KEY",
		Short: "Record the outcome of an unresolved action",
		Args:  exactArgs("TEAM", "KEY"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if ran == notRun || note == "" {
				return usagef("give either --ran or --not-run, and --note with how the outcome was determined")
			}
			c, err := s.client()
			if err != nil {
				return err
			}
			reply, err := c.Settle(cmd.Context(), api.SettleRequest{Team: args[0], Key: args[1], Ran: ran, Note: note})
			if err != nil {
				return err
			}
			return s.print(cmd, reply, func() { fmt.Fprintf(cmd.OutOrStdout(), "%s of team %s: %s\n", reply.Key, reply.Team, reply.Outcome) })
		},
	}
	cmd.Flags().BoolVar(&ran, "ran", false, "the action took effect")
	cmd.Flags().BoolVar(&notRun, "not-run", false, "the action did not take effect")
	cmd.Flags().StringVar(&note, "note", "", "how the outcome was determined")
	return cmd
}

func (s *session) drain() *cobra.Command {
	return &cobra.Command{
		Use:   "drain SERVER",
		Short: "Ask a backend server to finish its work and accept no more",
		Args:  exactArgs("SERVER"),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := s.client()
			if err != nil {
				return err
			}
			reply, err := c.Drain(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return s.print(cmd, reply, func() {
				fmt.Fprintf(cmd.OutOrStdout(), "%s accepts no new work; %d requests in progress\n", reply.Server, reply.InFlight)
			})
		},
	}
}
