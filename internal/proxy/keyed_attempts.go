package proxy

import (
	"sync"
	"time"

	"topazshed/internal/constants"
)

// keyedAttempt is one attempt that was sent to the owner of a key.
type keyedAttempt struct {
	// version is that of the snapshot which named the owner.
	version uint64
	// runsUntil is 0 while the attempt is in flight. An attempt without a whole response may run on for a while after it.
	runsUntil time.Duration
}

// keyedAttempts are the attempts that may run at the owners of their keys.
type keyedAttempts struct {
	lock     sync.Mutex
	last     uint64
	attempts map[uint64]keyedAttempt
}

// BeginKeyed notes the version of the snapshot that a keyed attempt was begun on. The returned function ends it: at once, or, if it may
// still run at the back end, after constants.KeyedAfterglow.
func (l *Loads) BeginKeyed(version uint64) (end func(mayRun bool)) {
	k := &l.keyed
	k.lock.Lock()
	defer k.lock.Unlock()
	k.last++
	id := k.last
	k.attempts[id] = keyedAttempt{version: version}
	return func(mayRun bool) {
		k.lock.Lock()
		defer k.lock.Unlock()
		if mayRun {
			k.attempts[id] = keyedAttempt{version, l.now() + constants.KeyedAfterglow}
		} else {
			delete(k.attempts, id)
		}
	}
}

// OldestVersion is the lowest snapshot version that a keyed attempt which may still run was begun on, or 0.
func (l *Loads) OldestVersion() uint64 {
	k := &l.keyed
	k.lock.Lock()
	defer k.lock.Unlock()
	var oldest uint64
	now := l.now()
	for id, attempt := range k.attempts {
		if attempt.runsUntil > 0 && now >= attempt.runsUntil {
			delete(k.attempts, id)
		} else if oldest == 0 || attempt.version < oldest {
			oldest = attempt.version
		}
	}
	return oldest
}
