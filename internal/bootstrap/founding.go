package bootstrap

import (
	"fmt"
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

const (
	// answerValidFor is how long a seed's answer that it has no system counts.
	answerValidFor = 2 * constants.DiscoverEvery
	// systemNumbers bounds the number that is drawn for the name of a system.
	systemNumbers = 1 << 32
)

// Found names a new system if it falls to this node to found one now, alone or with the other initial voters, and gives the first record of
// its log, which names the voters; otherwise it gives nil. The owner calls it for a node whose log is there and empty, and must send what Ask
// gave before, since the frames sent from now on bear the new name.
func (m *Machine) Found(now time.Duration) *schema.Record {
	if !m.isSeeking() {
		return nil
	}
	if m.options.InitialCluster != nil {
		return m.foundTogether(now)
	}
	return m.foundAlone(now)
}

// foundAlone names a new system with this node as its only voter, if that falls to it now.
func (m *Machine) foundAlone(now time.Duration) *schema.Record {
	if !m.mayFound(now) {
		return nil
	}
	self := m.options.Self
	m.system = fmt.Sprintf("%s-%08x", self.Id, m.options.Draw(systemNumbers))
	m.options.Log.Info("system founded", "system", m.system)
	return membersRecord([]*schema.Member{{Id: self.Id, Address: self.Address, Zone: self.Zone}})
}

// membersRecord is the first record of a log.
func membersRecord(voters []*schema.Member) *schema.Record {
	return &schema.Record{
		Kind:    schema.RecordKind_RECORD_MEMBERS,
		Members: &schema.Members{Voters: voters},
		Reason:  "founding",
	}
}

// mayFound tells whether this node shall found a system now: it is the founder, and all other seeds have had no system for long enough.
func (m *Machine) mayFound(now time.Duration) bool {
	if m.options.IsRejoin || m.options.WasMember || !m.isFounder() {
		return false
	}
	if !m.areOtherSeedsEmpty(now) {
		m.emptySince = 0
		return false
	}
	if m.emptySince == 0 {
		m.emptySince = now
	}
	return now-m.emptySince >= constants.FoundingWait
}

// areOtherSeedsEmpty tells whether every other seed has said lately that it has no system.
func (m *Machine) areOtherSeedsEmpty(now time.Duration) bool {
	for _, seed := range m.options.Seeds {
		if seed == m.options.Self.Address {
			continue
		}
		answer, isKnown := m.answers[seed]
		if !isKnown || answer.hasSystem || now-answer.at > answerValidFor {
			return false
		}
	}
	return true
}

// isFounder tells whether this node is the one that may found a system: the lowest seed with a disk, or the node that the lowest seed named
// because no seed has one.
func (m *Machine) isFounder() bool {
	seeds := slices.Sorted(slices.Values(m.options.Seeds))
	if !m.options.MixedSeeds {
		return seeds[0] == m.options.Self.Address
	}
	for _, seed := range seeds {
		if seed == m.options.Self.Address {
			return true
		}
		answer, isKnown := m.answers[seed]
		if !isKnown || answer.hasDisk {
			return false
		}
	}
	return m.founder == m.options.Self.Address
}

// nominate names the node that shall found the system if this node is the lowest seed and no seed has a disk; otherwise it is "". The name
// never changes, so that no two nodes found.
func (m *Machine) nominate(now time.Duration) string {
	if !m.isNominator() {
		return ""
	}
	if m.nominatingSince == 0 {
		m.nominatingSince = now
	}
	if m.founder == "" && now-m.nominatingSince >= constants.FoundingWait {
		m.founder = m.lowestKnownWithDisk()
	}
	return m.founder
}

// isNominator tells whether it falls to this node to name the founder.
func (m *Machine) isNominator() bool {
	self := m.options.Self
	if !m.options.MixedSeeds || m.system != "" || m.options.IsRejoin || self.Disk || self.Address != slices.Min(m.options.Seeds) {
		return false
	}
	for _, seed := range m.options.Seeds {
		if seed == self.Address {
			continue
		}
		if answer, isKnown := m.answers[seed]; !isKnown || answer.hasDisk {
			return false
		}
	}
	return true
}

func (m *Machine) lowestKnownWithDisk() string {
	lowest := ""
	for _, node := range m.peers.Known() {
		if node.Disk && (lowest == "" || node.Address < lowest) {
			lowest = node.Address
		}
	}
	return lowest
}
