package bootstrap

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"topazshed/internal/schema"
)

// InitialCluster is this node's part in the first start of its system, as its disk recorded it before the node spoke to anyone. The
// initial voters are the seeds with a disk, and who they are follows from the seeds alone, so that no single seed decides it.
type InitialCluster struct {
	// Seeds are the addresses that all nodes were given at the first start.
	Seeds []string
	// IsFromEarlierProcess says that an earlier process of this machine recorded it, so that others may count on this node.
	IsFromEarlierProcess bool
}

// memberIDBytes is the length of the identity of an initial voter; it is written in hexadecimal digits.
const memberIDBytes = 6

// InitialMemberID is the identity of the seed at an address as one of the initial voters.
func InitialMemberID(seeds []string, address string) string {
	return digestOf("voter "+address, seeds)
}

// InitialSystem names the system that these seeds bootstrap.
func InitialSystem(seeds []string) string { return "initial-" + digestOf("system", seeds) }

// digestOf gives the same text for the same seeds in any order.
func digestOf(subject string, seeds []string) string {
	sum := sha256.Sum256([]byte(subject + "\n" + strings.Join(slices.Sorted(slices.Values(seeds)), "\n")))
	return hex.EncodeToString(sum[:memberIDBytes])
}

// seedFact is what a seed said about itself that stays true: whether it has a disk, and whether its program bootstraps the initial voters
// together.
type seedFact struct {
	hasDisk   bool
	isEarlier bool
}

// initialMembership is what this node tells of its part.
func (m *Machine) initialMembership() schema.InitialMembership {
	switch {
	case !m.options.TellsFirstStart:
		return schema.InitialMembership_INITIAL_MEMBERSHIP_UNKNOWN
	case m.options.InitialCluster != nil:
		return schema.InitialMembership_INITIAL_MEMBERSHIP_VOTER
	default:
		return schema.InitialMembership_INITIAL_MEMBERSHIP_NONE
	}
}

// noteSeed keeps what a seed said about itself.
func (m *Machine) noteSeed(from string, response *schema.DiscoverResponse) {
	m.seedFacts[from] = seedFact{
		hasDisk:   response.Disk,
		isEarlier: response.InitialMembership == schema.InitialMembership_INITIAL_MEMBERSHIP_UNKNOWN,
	}
}

// NoteAsked notes that a node without a system asked this one: a seed of the first start may count on this node from now on. One that has a
// system does not, since it can have founded it without this process.
func (m *Machine) NoteAsked(by string) {
	if m.options.InitialCluster != nil && slices.Contains(m.options.InitialCluster.Seeds, by) {
		m.isCountedOn = true
	}
}

// initialVoters gives the initial voters once every seed has told whether it has a disk. Their zones are left out, since the record must be
// the same on each of them. hasEarlier says that a seed's program lets the lowest seed bootstrap alone, which must hold for all seeds then.
func (m *Machine) initialVoters() (voters []*schema.Member, isKnown, hasEarlier bool) {
	seeds := m.options.InitialCluster.Seeds
	for _, address := range slices.Sorted(slices.Values(seeds)) {
		isSelf := address == m.options.Self.Address
		other, hasAnswered := m.seedFacts[address]
		if !isSelf && !hasAnswered {
			return nil, false, false
		}
		hasEarlier = hasEarlier || other.isEarlier
		if isSelf || other.hasDisk {
			voters = append(voters, &schema.Member{Id: InitialMemberID(seeds, address), Address: address})
		}
	}
	return voters, true, hasEarlier
}

// foundTogether gives the first record of the log, which is the same on every initial voter; nil while a seed is still to be heard, or
// where this node must not take part.
func (m *Machine) foundTogether(now time.Duration) *schema.Record {
	voters, isKnown, hasEarlier := m.initialVoters()
	if !isKnown || m.hasLostDisk {
		return nil
	}
	if hasEarlier {
		return m.foundAlone(now)
	}
	m.system, m.hasFounded = InitialSystem(m.options.InitialCluster.Seeds), true
	m.options.Log.Info("system founded by its initial voters", "system", m.system, "voters", len(voters))
	return membersRecord(voters)
}

// mayAdopt tells whether this node may join a system by its name alone. An initial voter of that system bootstraps it with the others
// in place of that, since a name brings no log.
func (m *Machine) mayAdopt(system string) bool {
	initial := m.options.InitialCluster
	if initial == nil || system != InitialSystem(initial.Seeds) {
		return true
	}
	m.noteLostDisk()
	return false
}

// noteLostDisk notes that the system runs although nobody was told of this process: the disk that held this voter's promises is lost,
// and whoever bears its identity without them could vote twice.
func (m *Machine) noteLostDisk() {
	if m.isCountedOn || m.hasLostDisk {
		return
	}
	m.hasLostDisk = true
	m.options.Log.Error("the disk is empty, but this machine is an initial voter of a running system; say in its settings that this is no first start",
		"system", InitialSystem(m.options.InitialCluster.Seeds))
}

// TakePart joins the system of a member of the log that sends this node a message of the log, if this node is one of its initial voters.
func (m *Machine) TakePart(system string) {
	initial := m.options.InitialCluster
	if m.system != "" || initial == nil || system != InitialSystem(initial.Seeds) {
		return
	}
	m.noteLostDisk()
	if !m.hasLostDisk {
		m.join(system)
	}
}

// isSeeking tells whether this node has no system, or is an initial voter of its system without the first record of the log.
func (m *Machine) isSeeking() bool {
	return m.system == "" || m.isInitialVoter() && !m.hasFounded
}

// isInitialVoter tells whether this node is an initial voter of the system that it belongs to.
func (m *Machine) isInitialVoter() bool {
	initial := m.options.InitialCluster
	return initial != nil && m.system == InitialSystem(initial.Seeds)
}
