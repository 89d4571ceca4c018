package main

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryPoll is how often the memory of all processes is looked at: at 128 MB a second, a process grows by few megabytes meanwhile.
const memoryPoll = 20 * time.Millisecond

// memoryWatch ends each process that takes more memory than its machine has, as the machine's kernel would.
type memoryWatch struct {
	fleet  *platformFleet
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	// peaks are the most memory (megabytes) of each machine's processes. They belong to the watch until it is stopped.
	peaks map[*platformMachine]int
}

// watchMemory watches the processes of a fleet until it is stopped.
func watchMemory(ctx context.Context, f *platformFleet) *memoryWatch {
	w := &memoryWatch{fleet: f, peaks: map[*platformMachine]int{}}
	ctx, w.cancel = context.WithCancel(ctx)
	w.tasks.Go(func() {
		for sleep(ctx, memoryPoll) == nil {
			w.look()
		}
	})
	return w
}

// look takes the memory of every machine's newest process.
func (w *memoryWatch) look() {
	for _, m := range w.fleet.machines {
		process := m.newest()
		if process == nil || process.isMeantToEnd() {
			continue
		}
		pid := process.command.Process.Pid
		w.peaks[m] = max(w.peaks[m], peakMemory(pid))
		if used := residentMemory(pid); used > platformMemory {
			process.signal(syscall.SIGKILL, true)
			w.fleet.reportViolation("%s ran out of memory: its process used %d MB of %d", m.name, used, platformMemory)
			<-process.ended
			if err := w.fleet.start(m, false); err != nil {
				w.fleet.reportViolation("%s can't be started: %v", m.name, err)
			}
		}
	}
}

// stop ends the watch and gives the least, the median and the greatest of the machines' peaks.
func (w *memoryWatch) stop() memoryPeaks {
	w.cancel()
	w.tasks.Wait()
	var peaks memoryPeaks
	for _, peak := range w.peaks {
		peaks = append(peaks, peak)
	}
	slices.Sort(peaks)
	return peaks
}

// memoryPeaks are the machines' peaks in megabytes, the least one first.
type memoryPeaks []int

func (p memoryPeaks) String() string {
	if len(p) == 0 {
		return "not known"
	}
	return fmt.Sprintf("%d to %d MB, median %d", p[0], p[len(p)-1], p[len(p)/2])
}

// residentMemory is the memory that a process has now, in megabytes; 0 if that is not known.
func residentMemory(pid int) int {
	kilobytes, _, _ := strings.Cut(processStatus(pid, "VmRSS:"), " ")
	count, _ := strconv.Atoi(kilobytes)
	return count >> 10
}
