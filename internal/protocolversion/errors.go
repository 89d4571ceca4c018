package protocolversion

import "fmt"

// ImpossibleError says that a peer announces a span that no process can speak.
type ImpossibleError struct{ Low, High uint32 }

func (e *ImpossibleError) Error() string {
	return fmt.Sprintf("versions %d to %d can't be spoken by any process; check what program speaks at that address", e.Low, e.High)
}

// DisjointError says that two processes have no version in common.
type DisjointError struct{ Own, Peer Span }

func (e *DisjointError) Error() string {
	remedy := "roll the older node on first"
	if e.Own.High < e.Peer.Low {
		remedy = "roll this node on first"
	}
	return fmt.Sprintf("the peer speaks versions %v, this node %v: none in common; %s, one release at a time", e.Peer, e.Own, remedy)
}

// FleetError says that the fleet uses a version that this process does not speak.
type FleetError struct {
	Fleet Version
	Own   Span
}

func (e *FleetError) Error() string {
	const form = "the fleet uses version %d, this program speaks %v; it neither joins nor votes: start a program that speaks version %d"
	return fmt.Sprintf(form, e.Fleet, e.Own, e.Fleet)
}

// DiskError says that a disk was written by a version that this process does not read.
type DiskError struct {
	// What is the part of the disk that was read.
	What string
	// Disk is 0 if the version is not known.
	Disk Version
	Own  Span
}

func (e *DiskError) Error() string {
	version := "an unknown, newer version"
	if e.Disk > 0 {
		version = fmt.Sprintf("version %d", e.Disk)
	}
	const remedy = "nothing was changed: start the newer program again, or give the machine an empty data folder"
	return fmt.Sprintf("%s on this disk is of %s, this program reads %v; %s", e.What, version, e.Own, remedy)
}

// KindError says that the log holds a record of a kind that this process does not know.
type KindError struct {
	Kind  int32
	Index uint64
}

func (e *KindError) Error() string {
	const remedy = "this node can't go on without it: start the program that the other voters run"
	return fmt.Sprintf("record %d of the log is of the unknown kind %d; %s", e.Index, e.Kind, remedy)
}
