package proxy

// The kinds of refusals, as RefusalError.Kind and the bodies of responses have them.
const (
	// kindAttemptOld: the attempt id is older than the entry's move.
	kindAttemptOld = "attempt-old"
	// kindBadAge: the age is malformed.
	kindBadAge = "bad-age"
	// kindBadAttempt: the attempt id is missing or malformed.
	kindBadAttempt = "bad-attempt"
	// kindBadForward: the trail of failover numbers is malformed.
	kindBadForward = "bad-forward"
	// kindBadKey: the key is too long.
	kindBadKey = "bad-key"
	// kindBadMethod: the entry does not allow the method.
	kindBadMethod = "bad-method"
	// kindBadOrigin: the origin can't be read or does not fit the entry.
	kindBadOrigin = "bad-origin"
	// kindBadPath: the path is not in its plain form.
	kindBadPath = "bad-path"
	// kindBadWait: the wait is missing or malformed.
	kindBadWait = "bad-wait"
	// kindBehind: this proxy lacks the failover number by which it was chosen.
	kindBehind = "behind"
	// kindCallerGone: the caller has left.
	kindCallerGone = "gone"
	// kindCutShort: the body ended early.
	kindCutShort = "cut-short"
	// kindFailed: the request may have run and gave no response.
	kindFailed = "failed"
	// kindFenced: the former owner may still have leases.
	kindFenced = "fenced"
	// kindForwarded: another proxy refused without saying why.
	kindForwarded = "forwarded"
	// kindHotKey: one key has too many attempts in flight.
	kindHotKey = "hot-key"
	// kindIsolated: this proxy is cut off.
	kindIsolated = "isolated"
	// kindKeyBusy: the key's back end is busy or gone.
	kindKeyBusy = "key-busy"
	// kindKeyCold: the key's back end is warming up.
	kindKeyCold = "key-cold"
	// kindKeyMoving: the key's back end is being replaced.
	kindKeyMoving = "key-moving"
	// kindLate: the caller's wait is over.
	kindLate = "late"
	// kindMoved: another zone became the owner.
	kindMoved = "moved"
	// kindNoAssignment: no failover assignment leads to an owner.
	kindNoAssignment = "no-standing"
	// kindNoBackEnd: no back end is free.
	kindNoBackEnd = "no-backend"
	// kindNoKey: the entry is divided by key and the request names none.
	kindNoKey = "no-key"
	// kindNoLease: this proxy has no lease.
	kindNoLease = "no-grant"
	// kindNoProxy: no proxy of the owner is ready or reached.
	kindNoProxy = "no-proxy"
	// kindNoRepeat: the repeat budget is spent.
	kindNoRepeat = "no-repeat"
	// kindNoReplicas: the region has no replicas for reservations.
	kindNoReplicas = "no-keepers"
	// kindNoService: the path names no service.
	kindNoService = "no-service"
	// kindNotReserved: the replicas did not agree on a reservation.
	kindNotReserved = "no-claim"
	// kindOversize: the body is above the entry's limit.
	kindOversize = "oversize"
	// kindReservedElsewhere: another request has the attempt id reserved.
	kindReservedElsewhere = "attempt-held"
	// kindUnknownEntry: no entry covers the path.
	kindUnknownEntry = "unknown-entry"
	// kindUnready: this proxy has no fresh state.
	kindUnready = "unready"
	// kindZoneEmptied: this proxy's zone is emptied.
	kindZoneEmptied = "emptied"
)
