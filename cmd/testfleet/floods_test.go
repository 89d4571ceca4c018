package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"

	"topazshed/internal/endless"
)

func TestFloodsRefusesFaultyArguments(t *testing.T) {
	for _, args := range [][]string{{"-seeds", "x"}, {"-seconds", "2"}, {"-seconds", "601"}, {"-callers", "0"}, {"-callers", "1001"}, {"-kind", "none"}, {"-net", "59"}, {"-more", "31"}, {"more"}} {
		command := &floodsCommand{}
		flags := flag.NewFlagSet("floods", flag.ContinueOnError)
		command.SetFlags(flags)
		if err := flags.Parse(args); err != nil {
			t.Fatal(err)
		}
		if got := command.Execute(context.Background(), flags); got != subcommands.ExitUsageError {
			t.Errorf("%v: exit code %d", args, got)
		}
	}
}

// A check that can't fail is none: a process that takes more memory than its machine has is ended, found, and started again.
func TestFloodsEndsProcessesThatRunOutOfMemory(t *testing.T) {
	f := startsFleet(t, 116, "exec tail /dev/zero")
	m := f.machines[0]
	if err := f.start(m, false); err != nil {
		t.Fatal(err)
	}
	watch := watchMemory(context.Background(), f)
	for limit := time.Now().Add(20 * time.Second); f.processCount() < 2 && time.Now().Before(limit); {
		time.Sleep(10 * time.Millisecond)
	}
	peaks := watch.stop()
	if found := strings.Join(f.allViolations(), "\n"); f.processCount() < 2 || !strings.Contains(found, m.name+" ran out of memory") {
		t.Errorf("%d processes, found %q", f.processCount(), found)
	}
	if len(peaks) != 1 || peaks[0] < platformMemory {
		t.Errorf("peaks %v", peaks)
	}
}

func TestFloodsLeavesOtherProcessesAlone(t *testing.T) {
	f := startsFleet(t, 117, "exec sleep 60")
	if err := f.start(f.machines[0], false); err != nil {
		t.Fatal(err)
	}
	watch := watchMemory(context.Background(), f)
	time.Sleep(5 * memoryPoll)
	if watch.stop(); f.processCount() != 1 || len(f.allViolations()) > 0 {
		t.Errorf("%d processes, found %q", f.processCount(), f.allViolations())
	}
}

// A check that can't fail is none: sound requests that are broken off or not served are found.
func TestFloodsFindsSoundCallersThatSuffer(t *testing.T) {
	for _, c := range []struct {
		name           string
		served, others int
		other          int
		want           string
	}{
		{"all served", 10, 0, 0, ""},
		{"refused too often", 2, 8, http.StatusServiceUnavailable, "served 0.20 of the sound requests"},
		{"refused at times", 9, 1, http.StatusServiceUnavailable, ""},
		{"broken off once", 99, 1, endBrokenOff, "broke off 1 sound requests"},
		{"no request", 0, 0, 0, "served 0.00 of the sound requests"},
	} {
		f := &platformFleet{machines: []*platformMachine{{name: "north-a-1"}}}
		callers := newFloodCallers(f, 1)
		callers.after.add(http.StatusOK)
		for range c.served {
			callers.byMachine[f.machines[0]].add(http.StatusOK)
		}
		for range c.others {
			callers.byMachine[f.machines[0]].add(c.other)
		}
		callers.check()
		if found := strings.Join(f.allViolations(), "\n"); !strings.Contains(found, c.want) || c.want == "" && found != "" {
			t.Errorf("%s: found %q, want %q", c.name, found, c.want)
		}
	}
}

func TestFloodsTellsACallersTimeoutFromABrokenConnection(t *testing.T) {
	for _, c := range []struct {
		err  error
		want int
	}{
		{fmt.Errorf("read: %w", context.DeadlineExceeded), endTimedOut},
		{fmt.Errorf("read: %w", context.Canceled), endTimedOut},
		{fmt.Errorf("read: %w", io.ErrUnexpectedEOF), endBrokenOff},
	} {
		if got := endWithoutAnswer(c.err); got != c.want {
			t.Errorf("%v: %d, want %d", c.err, got, c.want)
		}
	}
}

// The back ends speak the platform's names: a sound one answers a request as its own, a faulty one does not stop.
func TestFloodBackendsAnswer(t *testing.T) {
	kinds, err := endless.Named("a body in large chunks")
	if err != nil {
		t.Fatal(err)
	}
	f := &platformFleet{net: 115}
	backends, err := startFloodBackends(f, 1, kinds)
	if err != nil {
		t.Fatal(err)
	}
	defer backends.close()
	if len(f.backends) != 4*len(zonePlaces) {
		t.Errorf("%d back ends are listed", len(f.backends))
	}
	for _, listed := range f.backends {
		request, err := http.NewRequest(http.MethodGet, "http://"+listed.Address+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header = platformHeaders("attempt-1", time.Second)
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		size, _ := io.Copy(io.Discard, io.LimitReader(response.Body, 1<<20))
		response.Body.Close()
		names := readHeaderNames()
		if response.Header.Get(names.Attempt) != "attempt-1" || response.Header.Get(names.Seal) == "" {
			t.Errorf("%v: %v", listed, response.Header)
		}
		if isSound := size == soundBody; isSound != (listed.Service == soundService) && listed.Service != mixedService && listed.Service != leaseService {
			t.Errorf("%v: %d bytes", listed, size)
		}
	}
}
