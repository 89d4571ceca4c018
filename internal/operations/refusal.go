package operations

import "topazshed/internal/schema"

// Refusal is a request's answer that says why it was not carried out, and what the operator can do.
type Refusal struct {
	Kind schema.RefusalKind
	// Problem says what is wrong, Remedy what to do; a problem taken from another error may hold its remedy in itself.
	Problem string
	Remedy  string
	// Version is that of the configuration that the refusal rests on; 0 is none.
	Version uint64
	// Faults are those of an invalid configuration.
	Faults []*schema.Fault
	// Cause is the error that led to the refusal, if there was one.
	Cause error
}

// Error gives the problem and the remedy.
func (r *Refusal) Error() string {
	if r.Remedy == "" {
		return r.Problem
	}
	return r.Problem + "; " + r.Remedy
}

// Unwrap gives the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

// response is the refusal as it is sent to the caller.
func (r *Refusal) response() *schema.OperatorResponse {
	return &schema.OperatorResponse{Refusal: r.Kind, Message: r.Error(), Version: r.Version, Faults: r.Faults}
}

// invalid refuses a configuration that has faults.
func invalid(version uint64, faults []*schema.Fault) *Refusal {
	return &Refusal{
		Kind:    schema.RefusalKind_REFUSAL_INVALID,
		Problem: "the configuration is refused as a whole",
		Remedy:  "nothing changed",
		Version: version,
		Faults:  faults,
	}
}

// conflict refuses a change that was not made on the newest configuration.
func conflict(version uint64, problem, remedy string) *Refusal {
	return &Refusal{Kind: schema.RefusalKind_REFUSAL_CONFLICT, Version: version, Problem: problem, Remedy: remedy}
}

// unknown refuses a request that names something that is not there.
func unknown(version uint64, problem, remedy string) *Refusal {
	return &Refusal{Kind: schema.RefusalKind_REFUSAL_UNKNOWN, Version: version, Problem: problem, Remedy: remedy}
}

// noLeader refuses a request that no leader could decide; it was not carried out.
func noLeader(problem, remedy string) *Refusal {
	return &Refusal{Kind: schema.RefusalKind_REFUSAL_NO_LEADER, Problem: problem, Remedy: remedy}
}

// callerGone answers a request whose caller has given it up before it was decided here.
func callerGone() *Refusal { return noLeader("the caller has gone", "ask again") }

// ambiguous answers a request that may have been carried out, or may still be.
func ambiguous(version uint64, problem, remedy string) *Refusal {
	return &Refusal{Kind: schema.RefusalKind_REFUSAL_AMBIGUOUS, Version: version, Problem: problem, Remedy: remedy}
}

// oversize refuses a change that doesn't fit the voters' disks.
func oversize(version uint64, problem, remedy string) *Refusal {
	return &Refusal{Kind: schema.RefusalKind_REFUSAL_OVERSIZE, Version: version, Problem: problem, Remedy: remedy}
}

// causedBy notes the error that led to a refusal, whose text stands for the problem and the remedy.
func (r *Refusal) causedBy(err error) *Refusal {
	r.Cause, r.Problem, r.Remedy = err, err.Error(), ""
	return r
}
