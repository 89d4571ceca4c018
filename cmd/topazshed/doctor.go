package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"topazshed/internal/adminapi"
	"topazshed/internal/constants"
	"topazshed/internal/journal"
	"topazshed/internal/settings"
)

type doctorCommand struct {
	adminFlag
	file, data string
	span       time.Duration
}

func (*doctorCommand) Name() string { return "doctor" }
func (*doctorCommand) Synopsis() string {
	return "look for common faults in a live fleet, a settings file or a stopped data folder"
}
func (*doctorCommand) Usage() string {
	return "doctor [-door IP:PORT] [-settings FILE] [-data FOLDER]; exit code 0 is healthy, 1 has findings, 2 is a wrong call\n"
}
func (c *doctorCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.admin, "door", "", "IP:port of any node's door: look at the live fleet")
	flags.DurationVar(&c.span, "clock-span", 2*time.Second, "how long to compare the machines' clock rates; 0 leaves it out")
	flags.StringVar(&c.file, "settings", "", "settings file to check, with its seeds")
	flags.StringVar(&c.data, "data", "", "data folder of a stopped process")
}

// Finding is one fault with its remedy.
type Finding struct{ Kind, Message, Remedy string }

func (c *doctorCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.admin == "" && c.file == "" && c.data == "" {
		fmt.Fprintln(os.Stderr, "name what to look at: -door, -settings or -data")
		return subcommands.ExitUsageError
	}
	var findings []Finding
	if c.file != "" {
		findings = append(findings, examineSettings(c.file)...)
	}
	if c.data != "" {
		findings = append(findings, examineData(c.data)...)
	}
	if c.admin != "" {
		findings = append(findings, c.examineFleet()...)
	}
	for _, finding := range findings {
		fmt.Printf("%s: %s\n  remedy: %s\n", finding.Kind, finding.Message, finding.Remedy)
	}
	if len(findings) > 0 {
		return subcommands.ExitFailure
	}
	fmt.Println("no common fault found")
	return subcommands.ExitSuccess
}

func examineSettings(file string) []Finding {
	flags := flag.NewFlagSet("doctor", flag.ContinueOnError)
	read := settings.Flags(flags)
	if err := flags.Parse([]string{"-settings", file}); err != nil {
		return []Finding{{"bad-settings", err.Error(), "name a settings file"}}
	}
	s, err := read()
	var findings []Finding
	var faults *settings.FaultsError
	if errors.As(err, &faults) {
		for _, fault := range faults.Faults {
			findings = append(findings, Finding{"bad-settings", fault.Field + " " + fault.Message, "mend the field and start the process again"})
		}
	}
	if s == nil {
		return findings
	}
	for _, seed := range s.Seeds {
		if seed == s.PeerShown {
			continue
		}
		conn, err := net.DialTimeout("tcp", seed, time.Second)
		if err != nil {
			findings = append(findings, Finding{"unreachable-seed", fmt.Sprintf("%s: %v", seed, err), "start that machine, or name another seed"})
			continue
		}
		conn.Close()
	}
	if s.Data != "" {
		findings = append(findings, examineDiskSpace(s.Data)...)
	}
	return findings
}

func examineDiskSpace(folder string) []Finding {
	var room syscall.Statfs_t
	if err := syscall.Statfs(folder, &room); err != nil {
		return []Finding{{"no-data-folder", err.Error(), "make the folder or mount its disk"}}
	}
	free := int64(room.Bavail) * room.Bsize
	need := int64(constants.JournalFiles*constants.JournalFileBytes + 2*constants.SnapshotFileBytes)
	for i := range constants.JournalFiles {
		if info, err := os.Stat(fmt.Sprintf("%s/ring-%d", folder, i)); err == nil {
			need -= info.Size()
		}
	}
	for i := range 2 {
		if info, err := os.Stat(fmt.Sprintf("%s/image-%d", folder, i)); err == nil {
			need -= info.Size()
		}
	}
	if need > 0 && free < need {
		return []Finding{{"little-room", fmt.Sprintf("%d bytes are free, %d are still to be preallocated", free, need), "make room on the disk before the process starts"}}
	}
	return nil
}

func examineData(folder string) []Finding {
	if info, err := os.Stat(folder); err != nil || !info.IsDir() {
		return []Finding{{"no-data-folder", fmt.Sprintf("%s is no folder", folder), "name the data folder of a stopped process"}}
	}
	findings := examineDiskSpace(folder)
	if _, err := os.Stat(folder + "/ring-0"); err != nil {
		return append(findings, Finding{"empty-data-folder", "there is no journal yet", "nothing, if the machine is new: it joins as a learner"})
	}
	disk, err := journal.OpenFolder(folder)
	if err != nil {
		return append(findings, Finding{"data-in-use", err.Error(), "stop the process, or use -door for a live one"})
	}
	defer disk.Close()
	_, state, err := journal.Open(disk, journal.DefaultOptions())
	var corrupt *journal.CorruptError
	switch {
	case errors.As(err, &corrupt):
		findings = append(findings, Finding{"corrupt-journal", err.Error(), "start the process: it gives up its identity and rejoins empty; check the disk"})
	case err != nil:
		findings = append(findings, Finding{"unreadable-journal", err.Error(), "check the disk and the folder's rights"})
	default:
		fmt.Printf("journal: node %s, system %s, term %d, image at %d, %d items behind it, torn tail %v\n", state.Hard.Id, state.Hard.System, state.Hard.Term, state.Snapshot.GetIndex(), len(state.Items), state.Torn)
	}
	return findings
}

func statusOf(admin string) (*adminapi.Status, error) {
	client := http.Client{Timeout: 3 * time.Second}
	response, err := client.Get("http://" + admin + "/v1/status")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	s := &adminapi.Status{}
	return s, json.NewDecoder(response.Body).Decode(s)
}

const clockMost = 0.05

type reading struct{ mine, theirs, blur time.Duration }

func examineClocks(admin string, first *adminapi.Status, span time.Duration) []Finding {
	if span <= 0 {
		return nil
	}
	admins := map[string]string{first.Node: admin}
	for _, node := range first.Nodes {
		if node.State == "ready" && node.ID != first.Node {
			admins[node.ID] = node.Admin
		}
	}
	origin := time.Now()
	read := func() map[string]reading {
		readings := map[string]reading{}
		for id, admin := range admins {
			begun := time.Since(origin)
			if s, err := statusOf(admin); err == nil && s.Node == id {
				blur := (time.Since(origin) - begun) / 2
				readings[id] = reading{begun + blur, time.Duration(s.ClockMs) * time.Millisecond, blur}
			}
		}
		return readings
	}
	before := read()
	time.Sleep(span)
	return judgeClocks(before, read())
}

func judgeClocks(before, after map[string]reading) []Finding {
	var findings []Finding
	for _, id := range slices.Sorted(maps.Keys(after)) {
		was, isThere := before[id]
		if !isThere {
			continue
		}
		mine, theirs := after[id].mine-was.mine, after[id].theirs-was.theirs
		if slack := time.Duration(float64(mine)*clockMost) + was.blur + after[id].blur + 2*time.Millisecond; theirs > mine+slack || theirs < mine-slack {
			findings = append(findings, Finding{"clock-rate", fmt.Sprintf("%s counted %v while this machine counted %v", id, theirs, mine.Round(time.Millisecond)),
				"check that machine's clock, and that it is not overloaded or just restarted; grants allow 5 per cent"})
		}
	}
	return findings
}

func (c *doctorCommand) examineFleet() []Finding {
	first, err := statusOf(c.admin)
	if err != nil {
		return []Finding{{"unreachable-door", err.Error(), "name the door of a running node"}}
	}
	var findings []Finding
	add := func(kind, message, remedy string) { findings = append(findings, Finding{kind, message, remedy}) }
	all := []*adminapi.Status{first}
	for _, node := range first.Nodes {
		if node.ID == first.Node {
			continue
		}
		if node.State != "ready" {
			add("lost-node", fmt.Sprintf("%s in %s is %s", node.ID, node.Zone, node.State), "start the machine again, or leave it: the others have taken over")
			continue
		}
		s, err := statusOf(node.Admin)
		if err != nil {
			add("unreachable-node", fmt.Sprintf("%s at %s: %v", node.ID, node.Admin, err), "look at its log; restart it if it hangs")
			continue
		}
		all = append(all, s)
	}
	var leader *adminapi.Status
	newest := uint64(0)
	for _, s := range all {
		newest = max(newest, s.Configuration)
		if s.Role == "leader" && s.Fit && (leader == nil || s.Term > leader.Term) {
			leader = s
		}
	}
	if leader == nil {
		add("no-quorum", "no node leads with a majority behind it", "bring back disk machines until more than half of the voters run")
	} else {
		if leader.LeaderUnreachable == "" && leader.LossesBorne == 0 {
			add("thin-quorum", fmt.Sprintf("%d of %d voters are silent (%s); one more loss stops changes", len(leader.UnresponsiveVoters), len(leader.Voters), strings.Join(leader.UnresponsiveVoters, ", ")),
				"bring a disk machine back, empty if need be; with fewer than three voters, add one")
		}
		if len(leader.Unconfirmed) > 0 {
			add("unconfirmed-change", "the newest operator's change is not confirmed by every proxy of "+strings.Join(leader.Unconfirmed, ", "), "bring their links to the core back, or end those machines: until then they go on as before")
		}
		if leader.ListMs < 0 || time.Duration(leader.ListMs)*time.Millisecond > constants.StaleList {
			add("stale-list", fmt.Sprintf("the platform's list was last read whole %d ms ago (%s)", leader.ListMs, leader.ListFault), "check the platform setting and the platform itself; back ends stay as last known")
		}
	}
	for _, s := range all {
		if s.Configuration < newest {
			add("differing-versions", fmt.Sprintf("%s has configuration %d, the newest is %d", s.Node, s.Configuration, newest), "wait 2.5 s and look again; then check its links to the disk machines")
		}
		if !s.Fit {
			add("unfit-node", fmt.Sprintf("%s has no fresh state (%d ms old)", s.Node, s.FreshMs), "check its links; it declines queries meanwhile")
		}
		if s.Disk != nil && s.Disk.Fault != "" {
			add("failing-disk", s.Node+": "+s.Disk.Fault, "replace the disk; the machine may come back empty")
		} else if s.Disk != nil && time.Duration(s.Disk.WorstMs)*time.Millisecond > constants.SlowSync {
			add("slow-disk", fmt.Sprintf("%s: worst sync %d ms, last %d ms", s.Node, s.Disk.WorstMs, s.Disk.LastSyncMs), "check the disk; a slow leader hands over by itself")
		}
	}
	findings = append(findings, examineClocks(c.admin, first, c.span)...)
	if leader != nil {
		first = leader
	}
	findings = append(findings, judgeRouted(first, all)...)
	backed := map[string]bool{}
	for _, b := range first.Backends {
		if b.State == "ready" {
			backed[b.Service] = true
		}
	}
	for _, entry := range first.Entries {
		service, _, _ := strings.Cut(entry, "/")
		if !backed[service] {
			add("entry-without-back-end", entry+" has no ready back end", "start back ends of "+service+" or take the entry out")
		}
	}
	return findings
}
