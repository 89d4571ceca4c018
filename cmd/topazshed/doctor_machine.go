package main

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/journal"
	"topazshed/internal/settings"
)

// seedTimeout bounds one try to reach a seed.
const seedTimeout = time.Second

// snapshotFiles is how many snapshot areas a data folder has.
const snapshotFiles = 2

// examineSettings checks a settings file, whether its seeds answer and whether its data folder has enough free space.
func examineSettings(file string) findings {
	var found findings
	flags := flag.NewFlagSet("doctor", flag.ContinueOnError)
	read := settings.Flags(flags)
	if err := flags.Parse([]string{"-settings", file}); err != nil {
		found.add("bad-settings", "name a settings file", "%v", err)
		return found
	}
	s, err := read()
	var faults *settings.FaultsError
	if errors.As(err, &faults) {
		for _, fault := range faults.Faults {
			found.add("bad-settings", "mend the field and start the process again", "%s %s", fault.Field, fault.Message())
		}
	}
	if s == nil {
		return found
	}
	for _, seed := range s.Seeds {
		if seed != s.PeerShown {
			examineSeed(&found, seed)
		}
	}
	if s.Data != "" {
		found = append(found, examineDiskSpace(s.Data)...)
	}
	return found
}

func examineSeed(found *findings, seed string) {
	conn, err := net.DialTimeout("tcp", seed, seedTimeout)
	if err != nil {
		found.add("unreachable-seed", "start that machine, or name another seed", "%s: %v", seed, err)
		return
	}
	conn.Close()
}

// examineDiskSpace checks whether the files that a process preallocates fit the disk.
func examineDiskSpace(folder string) findings {
	var found findings
	var disk syscall.Statfs_t
	if err := syscall.Statfs(folder, &disk); err != nil {
		found.add("no-data-folder", "make the folder or mount its disk", "%v", err)
		return found
	}
	free := int64(disk.Bavail) * disk.Bsize
	need := int64(constants.JournalFiles*constants.JournalFileBytes + snapshotFiles*constants.SnapshotFileBytes)
	need -= sizeOf(folder, "ring-%d", constants.JournalFiles) + sizeOf(folder, "image-%d", snapshotFiles)
	if need > 0 && free < need {
		found.add("little-room", "free space on the disk before the process starts",
			"%d bytes are free, %d are still to be preallocated", free, need)
	}
	return found
}

// sizeOf is the size in bytes of those of the numbered files that are there.
func sizeOf(folder, form string, count int) int64 {
	var size int64
	for number := range count {
		if info, err := os.Stat(filepath.Join(folder, fmt.Sprintf(form, number))); err == nil {
			size += info.Size()
		}
	}
	return size
}

// examineData reads the data folder of a stopped process.
func examineData(folder string) findings {
	var found findings
	if info, err := os.Stat(folder); err != nil || !info.IsDir() {
		found.add("no-data-folder", "name the data folder of a stopped process", "%s is no folder", folder)
		return found
	}
	found = examineDiskSpace(folder)
	if _, err := os.Stat(filepath.Join(folder, "ring-0")); err != nil {
		found.add("empty-data-folder", "nothing, if the machine is new: it joins as a learner", "there is no journal yet")
		return found
	}
	disk, err := journal.OpenFolder(folder)
	if err != nil {
		found.add("data-in-use", "stop the process, or use -admin for a live one", "%v", err)
		return found
	}
	defer disk.Close()
	_, state, err := journal.Open(disk, journal.DefaultOptions())
	var corrupt *journal.CorruptError
	switch {
	case errors.As(err, &corrupt):
		found.add("corrupt-journal", "start the process: it gives up its identity and rejoins empty; check the disk", "%v", err)
	case err != nil:
		found.add("unreadable-journal", "check the disk and the folder's rights", "%v", err)
	default:
		fmt.Printf("journal: node %s, system %s, term %d, snapshot at %d, %d log entries after it, torn tail %v\n",
			state.HardState.Id, state.HardState.System, state.HardState.Term, state.Snapshot.GetIndex(), len(state.Entries), state.Torn)
	}
	return found
}
