package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// The ports of a machine on the platform, as its settings name them.
	platformListPort    = 8541
	platformReadyPort   = 8542
	platformControlPort = 8544
	platformInnerFirst  = 7540
	// platformMemory is what a process may use, in megabytes.
	platformMemory = 284
	// stopGrace is how long a process has from SIGTERM to its end.
	stopGrace = 6 * time.Second
	// supervisorPause is the time until a process that ended by itself is started again.
	supervisorPause = 200 * time.Millisecond
	// halfWrittenFor is how long a settings file stays half written.
	halfWrittenFor = 80 * time.Millisecond
)

// platformMachine is one machine and its processes.
type platformMachine struct {
	name, ip string
	place    zonePlace
	hasDisk  bool

	// lock guards what follows. current is the newest process; wasStarted says that there was one.
	lock       sync.Mutex
	current    *platformProcess
	wasStarted bool
}

func (m *platformMachine) at(port int) string { return m.ip + ":" + strconv.Itoa(port) }

// newest is the machine's newest process, or nil.
func (m *platformMachine) newest() *platformProcess {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.current
}

// platformProcess is one process. lock guards isMeant, which says that the rig ends it.
type platformProcess struct {
	command *exec.Cmd
	begun   time.Time
	logPath string
	ended   chan struct{}

	lock    sync.Mutex
	isMeant bool
}

// signal sends a signal; isEnd says that the process is meant to end by it.
func (p *platformProcess) signal(signal syscall.Signal, isEnd bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.isMeant = p.isMeant || isEnd
	p.command.Process.Signal(signal)
}

func (p *platformProcess) isMeantToEnd() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.isMeant
}

// platformFleet runs the machines of a deployment on the users' platform, and its list. It is safe for concurrent use.
type platformFleet struct {
	program, folder string
	// net is the second byte of all loopback addresses.
	net      int
	machines []*platformMachine
	seeds    []string
	list     *http.Server
	// backends are what the list shows; they are set before the first process starts.
	backends []listedBackend

	lock       sync.Mutex
	processes  []*platformProcess
	violations []string
	isClosed   bool
	spawner    spawner
}

// newPlatformFleet makes the machines and starts the list, and no process. Each zone has one machine with a disk; the first two have two
// more, the others one, and all of them so many more as asked for.
func newPlatformFleet(options startsOptions) (*platformFleet, error) {
	f := &platformFleet{program: options.program, folder: options.folder, net: options.net}
	for i, place := range zonePlaces {
		count := 2 + options.more
		if i < 2 {
			count++
		}
		for number := 1; number <= count; number++ {
			f.machines = append(f.machines, &platformMachine{
				name:    fmt.Sprintf("%s-%d", place.zone, number),
				ip:      fmt.Sprintf("127.%d.%d.%d", f.net, i+1, number),
				place:   place,
				hasDisk: number == 1,
			})
		}
	}
	for _, m := range f.machines {
		if m.hasDisk && strings.HasSuffix(m.place.zone, "-a") {
			f.seeds = append(f.seeds, m.at(platformControlPort))
		}
	}
	var err error
	f.list, err = listenAndServe(f.listAddress(), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.Write(fill("backends.json.tmpl", f.backends))
	}))
	return f, err
}

// settingsText is the settings file of a machine's next process.
func (f *platformFleet) settingsText(m *platformMachine, isFirst bool) []byte {
	zones := map[string]string{}
	for _, place := range zonePlaces {
		zones[place.zone] = place.region
	}
	return fill("settings.json.tmpl", machineSettings{
		Name:    m.name,
		IP:      m.ip,
		Zone:    m.place.zone,
		Region:  m.place.region,
		Data:    f.dataFolder(m),
		List:    f.listAddress(),
		Zones:   jsonText(zones),
		Seeds:   jsonText(f.seeds),
		IsFirst: isFirst,
		HasDisk: m.hasDisk,
	})
}

func (f *platformFleet) listAddress() string {
	return fmt.Sprintf("127.%d.200.1:%d", f.net, platformListPort)
}

func (f *platformFleet) dataFolder(m *platformMachine) string {
	return filepath.Join(f.folder, m.name)
}

// start starts a machine's next process, beside a former one if that still runs. Where isSlow, half of its settings file is there first.
func (f *platformFleet) start(m *platformMachine, isSlow bool) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	text := f.settingsText(m, !m.wasStarted)
	path := filepath.Join(f.folder, m.name+".json")
	written := text
	if isSlow {
		written = text[:len(text)/2]
		time.AfterFunc(halfWrittenFor, func() { os.WriteFile(path, text, reportMode) })
	}
	if err := os.WriteFile(path, written, reportMode); err != nil {
		return err
	}
	process, err := f.spawn(m, path)
	if err != nil {
		return err
	}
	m.current, m.wasStarted = process, true
	go f.supervise(m, process)
	return nil
}

func (f *platformFleet) spawn(m *platformMachine, settings string) (*platformProcess, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.isClosed {
		return nil, errors.New("the fleet is closed")
	}
	logPath := filepath.Join(f.folder, fmt.Sprintf("%s.%d.log", m.name, len(f.processes)))
	log, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command := exec.Command(f.program, "platform")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), environmentOf(settings)}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.spawner.start(command); err != nil {
		return nil, err
	}
	process := &platformProcess{command: command, begun: time.Now(), logPath: logPath, ended: make(chan struct{})}
	f.processes = append(f.processes, process)
	return process, nil
}

// supervise waits for a process's end. One that ends by itself breaks the rule, and is started again.
func (f *platformFleet) supervise(m *platformMachine, process *platformProcess) {
	process.command.Wait()
	close(process.ended)
	if process.isMeantToEnd() {
		return
	}
	f.reportViolation("%s ended by itself %v after its start: %v, %s", m.name, time.Since(process.begun).Round(time.Millisecond),
		process.command.ProcessState, lastLine(process.logPath))
	time.Sleep(supervisorPause)
	if m.newest() == process {
		f.start(m, false)
	}
}

// lastLine is the last line of a process's log.
func lastLine(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return string(lines[len(lines)-1])
}

// kill ends a machine's newest process at once, and does not wait for that.
func (f *platformFleet) kill(m *platformMachine) {
	if process := m.newest(); process != nil {
		process.signal(syscall.SIGKILL, true)
	}
}

// stop tells a machine's newest process to end, and checks that it does so in time.
func (f *platformFleet) stop(m *platformMachine) {
	if process := m.newest(); process != nil {
		f.stopProcess(m, process)
	}
}

// stopProcess tells a process to end, and checks that it does so in time.
func (f *platformFleet) stopProcess(m *platformMachine, process *platformProcess) {
	process.signal(syscall.SIGTERM, true)
	go func() {
		select {
		case <-process.ended:
		case <-time.After(stopGrace + time.Second):
			state := processStatus(process.command.Process.Pid, "State:")
			f.reportViolation("%s still runs %v after SIGTERM, state %q, %s", m.name, stopGrace+time.Second, state, lastLine(process.logPath))
			process.signal(syscall.SIGKILL, true)
		}
	}()
}

// killAndWait ends a machine's newest process and waits until it is gone.
func (f *platformFleet) killAndWait(m *platformMachine) {
	if process := m.newest(); process != nil {
		process.signal(syscall.SIGKILL, true)
		<-process.ended
	}
}

// wipe kills a machine and empties its disk once the process is gone.
func (f *platformFleet) wipe(m *platformMachine) error {
	f.killAndWait(m)
	return os.RemoveAll(f.dataFolder(m))
}

// hangUp tells a machine's newest process that its settings have changed.
func (f *platformFleet) hangUp(m *platformMachine) {
	if process := m.newest(); process != nil {
		process.signal(syscall.SIGHUP, false)
	}
}

// checkMemory holds that no process that runs has used more memory than it may.
func (f *platformFleet) checkMemory() {
	for _, m := range f.machines {
		if used := peakMemory(m.newest().command.Process.Pid); used > platformMemory {
			f.reportViolation("%s used %d MB; %d are allowed", m.name, used, platformMemory)
		}
	}
}

// peakMemory is the most memory that a process has used, in megabytes; 0 if that is not known.
func peakMemory(pid int) int {
	kilobytes, _, _ := strings.Cut(processStatus(pid, "VmHWM:"), " ")
	count, _ := strconv.Atoi(kilobytes)
	return count >> 10
}

// processStatus is what the kernel tells of a process under a name; empty if that is not known.
func processStatus(pid int, name string) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(text)) {
		if value, isFound := strings.CutPrefix(line, name); isFound {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

func (f *platformFleet) reportViolation(format string, arguments ...any) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if !f.isClosed {
		f.violations = append(f.violations, fmt.Sprintf(format, arguments...))
	}
}

func (f *platformFleet) allViolations() []string {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.violations
}

func (f *platformFleet) processCount() int {
	f.lock.Lock()
	defer f.lock.Unlock()
	return len(f.processes)
}

// close kills every process and ends the list.
func (f *platformFleet) close() {
	f.lock.Lock()
	f.isClosed = true
	processes := f.processes
	f.lock.Unlock()
	for _, process := range processes {
		process.signal(syscall.SIGKILL, true)
	}
	for _, process := range processes {
		<-process.ended
	}
	f.list.Close()
}
