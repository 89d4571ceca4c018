package replication

import (
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// source is the member of the log that a reader takes its rows from, with what the reader knows of members that it left.
type source struct {
	// address is "" before one is chosen.
	address  string
	chosenAt time.Duration
	// confirmedAt is when it last sent rows that a majority had confirmed shortly before; 0 is never.
	confirmedAt time.Duration
	// awaitedAt is when it was asked for rows after it had answered a probe; 0 if no rows are awaited. lateTransfers counts those in a row
	// that did not come in time.
	awaitedAt     time.Duration
	lateTransfers int
	// failedAt is when each member was last found silent, or with rows that no majority had confirmed lately; askedAt is when it was
	// last chosen.
	failedAt map[string]time.Duration
	askedAt  map[string]time.Duration
	// tries counts the members chosen since seekingSince, when the last good source was lost; triedAt is when the last one was chosen.
	tries        int
	triedAt      time.Duration
	seekingSince time.Duration
}

// isAlive tells whether the source may still be relied on.
func (s *source) isAlive(now time.Duration) bool {
	return s.isAwaited(now) || s.address != "" && now-max(s.chosenAt, s.confirmedAt) <= constants.SourceTimeout
}

// isConfirmed tells whether the source sent confirmed rows lately.
func (s *source) isConfirmed(now time.Duration) bool {
	return now-s.confirmedAt <= constants.SourceTimeout
}

// isSeeking tells whether the last good source was lost and none has been found since.
func (s *source) isSeeking() bool { return s.seekingSince > 0 }

// choose takes another member as the source; it must still prove itself by sending confirmed rows.
func (s *source) choose(now time.Duration, address string) {
	s.address = address
	s.chosenAt = now
	s.triedAt = now
	s.askedAt[address] = now
	s.confirmedAt = 0
	s.awaitedAt = 0
	s.tries++
}

// chooseAgain tries the same member once more, where there is no other; it tells false if there is none.
func (s *source) chooseAgain(now time.Duration) bool {
	if s.address == "" {
		return false
	}
	s.choose(now, s.address)
	return true
}

// await takes a member as the source that has answered a probe: its rows are confirmed, and on their way.
func (s *source) await(now time.Duration, address string) {
	s.address = address
	s.chosenAt = now
	s.confirmedAt = 0
	s.awaitedAt = now
}

// isAwaited tells whether the source's rows are on their way. A transfer over a slow link that did not come in time gives the next one twice the time.
func (s *source) isAwaited(now time.Duration) bool {
	limit := constants.TransferTimeout << min(s.lateTransfers, constants.MaxTransferDoublings)
	return s.awaitedAt > 0 && now-s.awaitedAt <= limit
}

// confirm notes that a member sends rows that a majority has confirmed, which makes it the source.
func (s *source) confirm(now time.Duration, address string) {
	s.address = address
	s.confirmedAt = now
	s.awaitedAt = 0
	s.lateTransfers = 0
	s.tries = 0
	s.seekingSince = 0
	delete(s.failedAt, address)
}

// fail notes that a member is silent or sends old rows; if it is the source, another one is needed.
func (s *source) fail(now time.Duration, address string) {
	s.failedAt[address] = now
	if s.seekingSince == 0 {
		s.seekingSince = now
	}
	if address == s.address {
		if s.awaitedAt > 0 {
			s.lateTransfers++
		}
		s.chosenAt = 0
		s.confirmedAt = 0
		s.awaitedAt = 0
	}
}

// isUnresponsive tells, of a source that is not alive, whether its failure is still to be noted.
func (s *source) isUnresponsive() bool { return s.address != "" && s.chosenAt > 0 }

// isDue tells whether another member must be asked: the source can't be relied on, or one is being sought. While one is sought, no
// member is waited for: the first that has confirmed rows becomes the source.
func (s *source) isDue(now time.Duration) bool {
	isNeeded := !s.isAlive(now) || s.isSeeking() && !s.isAwaited(now)
	return isNeeded && s.isTryDue(now)
}

// isTryDue bounds how often members are asked in turn while all of them are silent or have old rows.
func (s *source) isTryDue(now time.Duration) bool {
	pause := min(time.Duration(s.tries)*constants.SourceTryPause, constants.MaxSourceTryPause)
	return now-s.triedAt >= pause
}

// leastAsked keeps the members whose last choice is longest ago, so that all are asked in turn.
func (s *source) leastAsked(addresses []string) []string {
	var kept []string
	for _, address := range addresses {
		switch {
		case len(kept) == 0 || s.askedAt[address] < s.askedAt[kept[0]]:
			kept = []string{address}
		case s.askedAt[address] == s.askedAt[kept[0]]:
			kept = append(kept, address)
		}
	}
	return kept
}

// isCandidate tells whether a node may be tried as the next source.
func (s *source) isCandidate(now time.Duration, node *schema.Node) bool {
	if !node.Disk || node.Address == s.address {
		return false
	}
	failedAt, hasFailed := s.failedAt[node.Address]
	return !hasFailed || now-failedAt > constants.SourceTimeout
}
