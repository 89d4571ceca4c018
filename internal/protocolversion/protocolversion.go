// Package protocolversion is the agreement on protocol versions.
//
// It owns the list of versions and what each of them brought, the version that two processes speak with each other,
// the version that the fleet uses, and when that one may rise. It has no state and does no input or output; every
// function may be called on any goroutine.
package protocolversion

import "slices"

// Version is a protocol version: 1 is the first. A higher one is newer.
type Version uint32

const (
	// First is the version of a process that announces none.
	First Version = 1
	// Newest is the highest version that this program speaks.
	Newest Version = 2
	// Highest is the highest version that there can ever be: a span that reaches further is noise, not a process from
	// far in the future.
	Highest Version = 1<<16 - 1
)

// Feature is something that a version brought.
type Feature string

// The features that depend on a version.
const (
	// SenderOnce lets a frame name its sender only where it differs from the last one named on its connection.
	SenderOnce Feature = "the sender is named once a connection"
	// SpanAnnounced puts the span of versions that a process speaks into the first frame of a connection, whole
	// heartbeats and the rows of nodes.
	SpanAnnounced Feature = "spans are announced in first frames and whole heartbeats"
	// FleetRow keeps the version that the fleet uses in a row; snapshots and hard states carry it.
	FleetRow Feature = "the fleet's version is a row, and is on disks"
)

// Release is a version and the features that it brought.
type Release struct {
	Version  Version
	Features []Feature
}

// Releases has every version that this program speaks, the oldest first.
var Releases = []Release{
	{First, nil},
	{2, []Feature{SenderOnce, SpanAnnounced, FleetRow}},
}

// Has reports whether a version has a feature.
func Has(version Version, feature Feature) bool {
	return slices.ContainsFunc(Releases, func(release Release) bool {
		return release.Version <= version && slices.Contains(release.Features, feature)
	})
}
