package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"

	"github.com/google/subcommands"

	"topazshed/internal/adminapi"
	"topazshed/internal/constants"
	"topazshed/internal/protocolversion"
)

type rolloutMachine struct {
	ID       string `json:"id"`
	Zone     string `json:"district"`
	State    string `json:"state"`
	Speaks   string `json:"speaks"`
	IsVoter  bool   `json:"voter"`
	IsNewest bool   `json:"newest"`
}

// rollout is how far a fleet's upgrade has come, and what the next step must wait for.
type rollout struct {
	InUse    uint32                 `json:"in_use"`
	Newest   uint32                 `json:"newest"`
	MayRise  uint32                 `json:"may_rise_to"`
	Holds    []protocolversion.Hold `json:"holds"`
	Machines []rolloutMachine       `json:"machines"`
	IsSafe   bool                   `json:"safe"`
	Waits    []string               `json:"waits"`
}

// assess reads a roll-out's failover assignment off a node's status.
func assess(s *adminapi.Status) rollout {
	r := rollout{InUse: s.Fleet, Newest: s.Newest, Holds: []protocolversion.Hold{}, Waits: []string{}}
	wait := func(form string, args ...any) { r.Waits = append(r.Waits, fmt.Sprintf(form, args...)) }
	if s.LeaderUnreachable != "" {
		wait("no leader answers (%s); wait until one does", s.LeaderUnreachable)
	}
	if len(s.Voters) == 0 {
		wait("this machine does not know the voters; ask the door of one with a disk")
	}
	if len(s.Learners) > 0 {
		wait("%d machines are learning the log (%v); wait until they vote", len(s.Learners), s.Learners)
	}
	var readers []protocolversion.Reader
	known := map[string]bool{}
	able := 0
	for _, n := range s.Nodes {
		known[n.ID] = true
		isVoter := slices.Contains(s.Voters, n.ID)
		isHeard := n.State == "ready"
		if s.Routed != nil && s.LeaderUnreachable == "" {
			isHeard = n.HeardMs >= 0 && n.HeardMs <= constants.NodeLostAfter.Milliseconds()
		}
		switch {
		case n.State != "ready":
			wait("machine %s in %s is %s; wait until it is back, or taken out", n.ID, n.Zone, n.State)
		case !isHeard:
			wait("machine %s in %s was not heard of late; look at it first", n.ID, n.Zone)
		case s.Routed != nil && s.LeaderUnreachable == "" && !n.InForce:
			wait("the newest configuration is not in force at machine %s in %s; wait until it is", n.ID, n.Zone)
		}
		if isVoter && isHeard && n.State == "ready" {
			able++
		}
		span := protocolversion.Span{Low: n.SpeaksLow, High: n.SpeaksHigh}
		readers = append(readers, protocolversion.Reader{ID: n.ID, Span: span, IsVoter: isVoter, IsHeard: isHeard})
		r.Machines = append(r.Machines, rolloutMachine{n.ID, n.Zone, n.State, span.String(), isVoter, span.Has(s.Newest)})
	}
	for _, id := range slices.Concat(s.Voters, s.Learners) {
		if !known[id] {
			readers = append(readers, protocolversion.Reader{ID: id, Span: protocolversion.Span{Low: protocolversion.First, High: protocolversion.First}, IsVoter: true})
			wait("member %s of the log is not among the machines; bring it back, or wait until it is taken out", id)
		}
	}
	if need := len(s.Voters)/2 + 1; len(s.Voters) > 0 && able-1 < need {
		wait("%d of %d voters are well; with one of them away fewer than the %d that must agree would be left", able, len(s.Voters), need)
	}
	for _, d := range s.Zones {
		if d.Emptied {
			wait("district %s is emptied; restore it first", d.Name)
		}
	}
	if s.Routed != nil {
		for _, service := range s.Routed.Services {
			if service.Unheld > 0 {
				wait("%d keys of %s have no holder; wait until they have", service.Unheld, service.Name)
			}
		}
		moving := 0
		for _, span := range s.Routed.Spans {
			if span.Releasing {
				moving++
			}
		}
		if moving > 0 {
			wait("%d spans of keys are moving; wait until they have", moving)
		}
	}
	own := protocolversion.Span{Low: protocolversion.First, High: s.Newest}
	next, holds := protocolversion.Rise(s.Fleet, own, readers)
	r.MayRise, r.Holds = next, append(r.Holds, holds...)
	r.IsSafe = len(r.Waits) == 0
	return r
}

func (r rollout) print(w io.Writer) {
	line := func(form string, args ...any) { fmt.Fprintf(w, form+"\n", args...) }
	count := 0
	for _, m := range r.Machines {
		if m.IsNewest {
			count++
		}
	}
	line("version  %d in use; %d of %d machines speak the newest, %d", r.InUse, count, len(r.Machines), r.Newest)
	if r.MayRise > r.InUse {
		line("rise     to version %d by itself once this has stood for %v", r.MayRise, constants.FleetRiseAfter)
	}
	for _, m := range r.Machines {
		role := "reader"
		if m.IsVoter {
			role = "voter"
		}
		line("machine  %s in %-12s %-8s %-6s speaks %s", m.ID, m.Zone, m.State, role, m.Speaks)
	}
	for _, hold := range r.Holds {
		line("held by  %s: %s", hold.ID, hold.Reason)
	}
	for _, reason := range r.Waits {
		line("wait     %s", reason)
	}
	if r.IsSafe {
		line("next     the next machine may be taken")
	}
}

type rolloutCommand struct {
	adminFlag
	isJSON bool
}

func (*rolloutCommand) Name() string { return "rollout" }
func (*rolloutCommand) Synopsis() string {
	return "tell which version is in use, and whether the next machine may be upgraded"
}
func (*rolloutCommand) Usage() string {
	return "rollout [-door IP:PORT] [-json] status\nExits with 0 if the next machine may be taken, 1 if not.\n"
}
func (c *rolloutCommand) SetFlags(flags *flag.FlagSet) {
	c.adminFlag.SetFlags(flags)
	flags.BoolVar(&c.isJSON, "json", false, "print it as JSON")
}
func (c *rolloutCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 || flags.Arg(0) != "status" {
		fmt.Fprintf(os.Stderr, "rollout takes one word, status; %q was given\n", flags.Args())
		return subcommands.ExitUsageError
	}
	status, _, text, err := c.call(http.MethodGet, "/v1/status", nil, nil, nil)
	if code := report(status, text, err); code != subcommands.ExitSuccess {
		return code
	}
	var s adminapi.Status
	if err := json.Unmarshal(text, &s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	r := assess(&s)
	if c.isJSON {
		if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
	} else {
		r.print(os.Stdout)
	}
	if !r.IsSafe {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
