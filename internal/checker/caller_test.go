package checker

import (
	"net/http"
	"reflect"
	"testing"
	"time"
)

func TestNextStepFollowsTheResultAndTheTimeLeft(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply Reply
		left  time.Duration
		want  Step
	}{
		{"a sealed answer is final", Reply{Result: ResultSealed, Status: 200}, time.Second, StepEnd},
		{"a refusal for good is final", Reply{Result: ResultDeclined, Status: 404}, time.Second, StepEnd},
		{"a refusal for now is followed after its Retry-After", Reply{Result: ResultDeclined, Status: 503, RetryAfter: time.Second}, 2 * time.Second, StepWait},
		{"a conflict is followed like a refusal for now", Reply{Result: ResultDeclined, Status: 409}, time.Second, StepWait},
		{"a refusal for longer than the caller waits is final", Reply{Result: ResultDeclined, Status: 503, RetryAfter: 2 * time.Second}, 2 * time.Second, StepEnd},
		{"a doubtful answer to an unsafe request is final", Reply{Result: ResultDoubtful, Status: 504, IsUnsafe: true}, time.Second, StepEnd},
		{"a doubtful answer to a safe request is sent again", Reply{Result: ResultDoubtful, Status: 504}, time.Second, StepBackOff},
		{"a broken sending is sent again", Reply{Broken: BrokenLost, IsUnsafe: true}, time.Second, StepBackOff},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := NextStep(&c.reply, c.left); got != c.want {
				t.Errorf("step %d, want %d", got, c.want)
			}
		})
	}
}

func TestReadAnswerBelievesOnlyAnswersToItsAttempt(t *testing.T) {
	const body = `{"attempt":"a-1"}`
	for _, c := range []struct {
		name, outcome, attempt, retryAfter, body string
		status                                   int
		want                                     Reply
	}{
		{"its own", ResultSealed, "a-1", "", body, 200, Reply{Result: ResultSealed, Status: 200, Digest: Digest([]byte(body))}},
		{"a sealed error without the attempt in its body", ResultSealed, "a-1", "", "gone", 410, Reply{Result: ResultSealed, Status: 410, Digest: Digest([]byte("gone"))}},
		{"another attempt's header", ResultSealed, "a-2", "", body, 200, Reply{Result: ResultSealed, Status: 200, Digest: foreignDigest}},
		{"another attempt's body", ResultSealed, "a-1", "", `{"attempt":"a-2"}`, 200, Reply{Result: ResultSealed, Status: 200, Digest: foreignDigest}},
		{"half a body", ResultSealed, "a-1", "", `{"attempt":"a-`, 200, Reply{Result: ResultSealed, Status: 200, Digest: foreignDigest}},
		{"a refusal", ResultDeclined, "a-1", "2", `{"kind":"busy"}`, 503, Reply{Result: ResultDeclined, Status: 503, Kind: "busy", RetryAfter: 2 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			header := http.Header{}
			header.Set(headerOutcome, c.outcome)
			header.Set(headerAttempt, c.attempt)
			if c.retryAfter != "" {
				header.Set("Retry-After", c.retryAfter)
			}
			got := Reply{Attempt: "a-1"}
			got.ReadAnswer(c.status, header, []byte(c.body))
			c.want.Attempt = "a-1"
			if got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestRecordListNotesChangesOnly(t *testing.T) {
	now := time.Duration(0)
	h := NewHistory(func() time.Duration { return now }, func(string) string { return "" })
	for i, states := range []map[string]string{
		{"b-1": BackendReady, "b-2": BackendReady},
		{"b-1": BackendReady, "b-2": BackendReady},
		{"b-1": BackendDraining, "b-2": BackendReady},
		{"b-2": BackendReady},
	} {
		now = time.Duration(i) * time.Second
		h.RecordList(states)
	}
	want := []PlatformEvent{
		{0, "b-1", BackendReady},
		{0, "b-2", BackendReady},
		{2 * time.Second, "b-1", BackendDraining},
		{3 * time.Second, "b-1", BackendGone},
	}
	if !reflect.DeepEqual(h.Platform, want) {
		t.Errorf("got %v, want %v", h.Platform, want)
	}
}
