package bootstrap

import (
	"slices"
	"time"
)

// logWaitEvery is how often a node without a system logs what it waits for.
const logWaitEvery = 2 * time.Second

// logWait logs for whom a node without a system waits: a system that is never founded shows in nothing else.
func (m *Machine) logWait(now time.Duration) {
	if m.startedAt == 0 {
		m.startedAt, m.waitLoggedAt = now, now
	}
	if now-m.waitLoggedAt < logWaitEvery {
		return
	}
	m.waitLoggedAt = now
	silent, without := m.seedsWithoutSystem(now)
	m.options.Log.Warn("this node belongs to no system yet", "milliseconds", (now - m.startedAt).Milliseconds(),
		"silent_seeds", silent, "seeds_without_system", without, "may_found", m.isFounder() || m.options.InitialCluster != nil, "rejoins", m.options.IsRejoin)
}

// seedsWithoutSystem gives the other seeds that have not answered lately, and those that said that they have no system.
func (m *Machine) seedsWithoutSystem(now time.Duration) (silent, without []string) {
	for _, seed := range slices.Sorted(slices.Values(m.options.Seeds)) {
		if seed == m.options.Self.Address {
			continue
		}
		answer, isKnown := m.answers[seed]
		switch {
		case !isKnown || now-answer.at > answerValidFor:
			silent = append(silent, seed)
		case !answer.hasSystem:
			without = append(without, seed)
		}
	}
	return silent, without
}
