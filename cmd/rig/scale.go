package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"topazshed/internal/sim"
)

// scaleBase is the fleet that is varied one size at a time.
var scaleBase = sim.HollowOptions{Nodes: 60, Backends: 300, Services: 100, Keyed: 2, Routes: 200, Regions: 3, Changes: 30}

// scaleStep is a thing that is varied and the sizes that it is measured at.
type scaleStep struct {
	name  string
	field func(*sim.HollowOptions) *int
	sizes []int
}

// scaleSteps are the sizes that are measured of what is varied.
var scaleSteps = []scaleStep{
	{"nodes", func(o *sim.HollowOptions) *int { return &o.Nodes }, []int{15, 150, 500, 1500, 2500}},
	{"backends", func(o *sim.HollowOptions) *int { return &o.Backends }, []int{100, 1000, 10000}},
	{"routes", func(o *sim.HollowOptions) *int { return &o.Routes }, []int{100, 1000, 10000}},
	{"services", func(o *sim.HollowOptions) *int { return &o.Services }, []int{30, 100, 300}},
	{"regions", func(o *sim.HollowOptions) *int { return &o.Regions }, []int{3, 12, 46}},
	{"keyed", func(o *sim.HollowOptions) *int { return &o.Keyed }, []int{0, 10, 100}},
	{"changes", func(o *sim.HollowOptions) *int { return &o.Changes }, []int{6, 30, 120}},
}

func sizeOf(vary string, o sim.HollowOptions) int {
	for _, step := range scaleSteps {
		if step.name == vary {
			return *step.field(&o)
		}
	}
	return 0
}

type scaleCommand struct {
	fleet, vary, sizes, plots string
	base                      sim.HollowOptions
	memory, disk              int
}

func (*scaleCommand) Name() string { return "scale" }
func (*scaleCommand) Synopsis() string {
	return "measure in the simulator how costs grow with a fleet's sizes"
}
func (*scaleCommand) Usage() string {
	return `scale [-vary nodes,backends,...|all] [-sizes N,N,...] [-seed N] [-most NODES] [-memory MIB] [-wall TIME] [-plots FOLDER] [-nodes N] [-backends N] ...
scale -fleet entries [-services N] [-seed N] [-most NODES]
`
}
func (c *scaleCommand) SetFlags(flags *flag.FlagSet) {
	c.base = scaleBase
	flags.StringVar(&c.fleet, "fleet", "routed", "routed (hollow nodes, every cost) or entries (the simulator's whole nodes)")
	flags.StringVar(&c.vary, "vary", "nodes", "what is varied, one after the other: nodes, backends, routes, services, regions, keyed, changes, or all")
	flags.StringVar(&c.sizes, "sizes", "", "the sizes of what is varied, in place of the usual ones")
	flags.StringVar(&c.plots, "plots", "", "folder for one SVG for each thing varied")
	flags.IntVar(&c.base.Nodes, "nodes", c.base.Nodes, "nodes where they are not varied; six have disks")
	flags.IntVar(&c.base.Backends, "backends", c.base.Backends, "back ends")
	flags.IntVar(&c.base.Services, "services", c.base.Services, "services; in a fleet of entries with three back ends each")
	flags.IntVar(&c.base.Keyed, "keyed", c.base.Keyed, "keyed services")
	flags.IntVar(&c.base.Routes, "routes", c.base.Routes, "routes")
	flags.IntVar(&c.base.Regions, "regions", c.base.Regions, "regions of two zones")
	flags.IntVar(&c.base.Changes, "changes", c.base.Changes, "configurations a minute, each with one changed route")
	flags.DurationVar(&c.base.Span, "span", 10*time.Second, "virtual time measured without a change, and the least with changes")
	flags.Int64Var(&c.base.Seed, "seed", 1, "seed")
	flags.IntVar(&c.base.NodesMost, "most", 500, "bound on the machines of a fleet")
	flags.IntVar(&c.memory, "memory", 6144, "bound on this process's memory in MiB")
	flags.IntVar(&c.disk, "disk", 0, "MiB of a disk machine's disk, of which the log takes its usual part; 0 is the usual sizes")
	flags.DurationVar(&c.base.WallMost, "wall", 3*time.Minute, "bound on the real time of one size")
}

// plan gives the sizes to measure by what is varied, or every fault of the arguments.
func (c *scaleCommand) plan(rest []string) (map[string][]sim.HollowOptions, []string, []string) {
	var faults, order []string
	if c.fleet != "routed" && c.fleet != "entries" {
		faults = append(faults, fmt.Sprintf("fleet %q is unknown; use routed or entries", c.fleet))
	}
	if len(rest) > 0 {
		faults = append(faults, fmt.Sprintf("words %q are not taken; give flags only", rest))
	}
	var own []int
	for _, word := range strings.FieldsFunc(c.sizes, func(r rune) bool { return r == ',' }) {
		size, err := strconv.Atoi(strings.TrimSpace(word))
		if err != nil || size < 0 {
			faults = append(faults, fmt.Sprintf("size %q is no count; write sizes as 15,150", word))
		}
		own = append(own, size)
	}
	if c.sizes != "" && (c.vary == "all" || strings.Contains(c.vary, ",")) {
		faults = append(faults, "sizes fit one varied thing only; name one with -vary")
	}
	if c.plots != "" {
		if info, err := os.Stat(c.plots); err != nil || !info.IsDir() {
			faults = append(faults, fmt.Sprintf("plots folder %q is not there; make it first", c.plots))
		}
	}
	c.base.MemoryMost, c.base.Disk = uint64(max(0, c.memory))<<20, int64(c.disk)<<20
	plan := map[string][]sim.HollowOptions{}
	named := map[string]bool{}
	for _, word := range strings.Split(c.vary, ",") {
		named[word] = true
		isKnown := word == "all" || slices.ContainsFunc(scaleSteps, func(s scaleStep) bool { return s.name == word })
		if !isKnown {
			faults = append(faults, fmt.Sprintf("%q can't be varied; use nodes, backends, routes, services, regions, keyed, changes or all", word))
		}
	}
	for _, step := range scaleSteps {
		if !named[step.name] && !named["all"] {
			continue
		}
		order = append(order, step.name)
		sizes := step.sizes
		if len(own) > 0 {
			sizes = own
		}
		for _, size := range sizes {
			o := c.base
			*step.field(&o) = size
			if len(own) == 0 {
				switch step.name {
				case "nodes":
					if size > o.NodesMost {
						continue
					}
				case "backends", "services":
					o.Backends = max(o.Backends, o.Services)
				case "regions":
					o.Nodes = max(o.Nodes, 2*o.Regions)
				case "keyed":
					o.Backends = max(o.Backends, o.Services)
				}
			}
			plan[step.name] = append(plan[step.name], o)
			for _, fault := range o.Faults() {
				if !slices.Contains(faults, fault) {
					faults = append(faults, fault)
				}
			}
		}
	}
	return plan, order, faults
}

func (c *scaleCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	plan, order, faults := c.plan(flags.Args())
	if len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintln(os.Stderr, fault)
		}
		return subcommands.ExitUsageError
	}
	if c.fleet == "entries" {
		return c.growEntries()
	}
	for _, vary := range order {
		var results []sim.Hollow
		fmt.Printf("\n%s varied; otherwise %s; seed %d\n\n", vary, describe(vary, c.base), c.base.Seed)
		for _, o := range plan[vary] {
			o.Progress = os.Stderr
			result, err := sim.GrowRouted(o)
			if err != nil {
				fmt.Fprintf(os.Stderr, "%s %d: %v\n", vary, sizeOf(vary, o), err)
				printGrowth(vary, results)
				return subcommands.ExitFailure
			}
			results = append(results, result)
		}
		printGrowth(vary, results)
		if c.plots != "" && len(results) > 1 {
			name, err := plotGrowth(c.plots, vary, results)
			if err != nil {
				fmt.Fprintln(os.Stderr, err)
				return subcommands.ExitFailure
			}
			fmt.Fprintln(os.Stderr, "plot in", name)
		}
	}
	return subcommands.ExitSuccess
}

func describe(vary string, o sim.HollowOptions) string {
	var parts []string
	for _, step := range scaleSteps {
		if step.name != vary {
			parts = append(parts, fmt.Sprintf("%s %d", step.name, *step.field(&o)))
		}
	}
	return strings.Join(parts, ", ")
}

// printGrowth prints the costs by role, then those of the whole fleet; only processor, memory and the two times of a request are real and noisy.
func printGrowth(vary string, results []sim.Hollow) {
	fmt.Printf("| %s | role | frames/s in / out | bytes/s in / out | of it to other regions | busiest bytes/s in / out | a change: frames in / out | bytes in / out | processor ms/s mean / busiest | ms a change | rows |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n", vary)
	for _, r := range results {
		for _, c := range r.Roles {
			fmt.Printf("| %d | %s (%d) | %.1f / %.1f | %.0f / %.0f | %.0f | %.0f / %.0f | %.1f / %.1f | %.0f / %.0f | %.3f / %.3f | %.3f | %d |\n", sizeOf(vary, r.Options), c.Role, c.Nodes,
				c.Quiet.FramesIn, c.Quiet.FramesOut, c.Quiet.BytesIn, c.Quiet.BytesOut, c.Quiet.FarBytes, c.Busiest.BytesIn, c.Busiest.BytesOut,
				c.Change.FramesIn, c.Change.FramesOut, c.Change.BytesIn, c.Change.BytesOut, c.Processor*1000, c.ProcessorBusiest*1000, c.ProcessorChange*1000, c.Rows)
		}
	}
	fmt.Printf("\n| %s | settled after | spread median / max | not spread | heap a node KiB | rows of a voter | image bytes | disk bytes a change | grant calls/s | zones known | choice of a back end | directory question | run took |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n", vary)
	for _, r := range results {
		rows, total := "", 0
		for _, kind := range slices.Sorted(maps.Keys(r.Rows)) {
			rows += fmt.Sprintf(" %s %d", kind, r.Rows[kind])
			total += r.Rows[kind]
		}
		fmt.Printf("| %d | %v | %v / %v | %d | %.0f | %d:%s | %d | %.0f | %.1f | %d of %d | %v | %v | %v |\n", sizeOf(vary, r.Options), r.Settled.Round(time.Millisecond), r.SpreadMedian.Round(time.Millisecond), r.SpreadMax.Round(time.Millisecond), r.Late,
			r.Heap/1024, total, rows, r.ImageBytes, r.DiskChange, r.Grants, r.ZonesKnown, r.Zones, r.Choose.Round(100*time.Nanosecond), r.Resolve.Round(time.Microsecond), r.Wall.Round(100*time.Millisecond))
	}
	fmt.Printf("\n| %s | bytes/s of the whole fleet by kind of frame, quiet |\n| --- | --- |\n", vary)
	for _, r := range results {
		text := ""
		for _, kind := range slices.SortedFunc(maps.Keys(r.Kinds), func(a, b string) int { return cmp.Or(cmp.Compare(r.Kinds[b], r.Kinds[a]), cmp.Compare(a, b)) }) {
			text += fmt.Sprintf(" %s %.0f", kind, r.Kinds[kind])
		}
		fmt.Printf("| %d |%s |\n", sizeOf(vary, r.Options), text)
	}
}

func (c *scaleCommand) growEntries() subcommands.ExitStatus {
	code := subcommands.ExitSuccess
	fmt.Println("| nodes | services | served after | spread median / max | frames s⁻¹ node⁻¹ | bytes s⁻¹ node⁻¹ | frames s⁻¹ to the leader | rows of a full copy | rows of a reader | widest view |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, nodes := range []int{18, 48, 150, 498} {
		if nodes > c.base.NodesMost {
			break
		}
		g, err := sim.Grow(c.base.Seed, nodes, c.base.Services)
		if err != nil || len(g.Breaches) > 0 {
			fmt.Fprintln(os.Stderr, err, g.Breaches)
			code = subcommands.ExitFailure
		}
		fmt.Printf("| %d | %d | %v | %v / %v | %d | %d | %d | %d | %d | %d |\n", g.Nodes, g.Services, g.Ready, g.SpreadMedian.Round(time.Millisecond), g.SpreadMax.Round(time.Millisecond),
			g.FramesPerNode, g.BytesPerNode, g.LeaderFrames, g.FullRows, g.ReaderRows, g.WidestView)
	}
	return code
}

type failoverCommand struct{ seeds string }

func (*failoverCommand) Name() string { return "failover" }
func (*failoverCommand) Synopsis() string {
	return "measure in the simulator how long the loss of an active group is felt"
}
func (*failoverCommand) Usage() string { return "failover [-seeds FIRST-LAST]\n" }
func (c *failoverCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.seeds, "seeds", "1-20", "first and last seed, or one seed")
}

func (c *failoverCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	first, last, err := readSeeds(c.seeds)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	var number, read, unsafe []time.Duration
	for seed := first; seed <= last; seed++ {
		f, err := sim.Failover(seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			return subcommands.ExitFailure
		}
		number, read, unsafe = append(number, f.Number), append(read, f.Read), append(unsafe, f.Unsafe)
	}
	for _, row := range []struct {
		name  string
		times []time.Duration
	}{{"new number", number}, {"read served", read}, {"unsafe served", unsafe}} {
		slices.Sort(row.times)
		n := len(row.times)
		fmt.Printf("%-14s min %v median %v max %v of %d\n", row.name, row.times[0], row.times[n/2], row.times[n-1], n)
	}
	return subcommands.ExitSuccess
}
