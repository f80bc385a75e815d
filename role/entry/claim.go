package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"

	"marigoldcleat.example/cleat"
)

// claimKey claims a request's idempotency key durably at control. It returns the
// recorded answer of an earlier request with the key, or the refusal; neither
// when the key was granted and the request may run once.
func (e *Entry) claimKey(c *call) (*cleat.RecordedAnswer, *detailedRefusal) {
	if e.claims == nil {
		return nil, noQuorumRefusal()
	}
	claimDeadline := c.work.Received.Add(e.cfg.ClaimTimeout)
	if c.work.Deadline.Before(claimDeadline) {
		claimDeadline = c.work.Deadline
	}
	res := e.claims.Claim(cleat.Claim{
		Workspace: c.work.Workspace,
		Key:       c.work.IdempotencyKey,
		Request:   c.work.ID,
		Digest:    c.digest(),
	}, claimDeadline)
	if res.Mismatch {
		return nil, newRefusal(cleat.ReasonKeyMismatch, "")
	}
	switch res.State {
	case cleat.ClaimGranted:
		return nil, nil
	case cleat.ClaimDone:
		return checkRecordedAnswer(&res.Answer)
	case cleat.ClaimRunning:
		return nil, newRanUnknownRefusal(cleat.ReasonKeyInUse, claimRetryDelay)
	case cleat.ClaimInDoubt:
		return nil, newRanUnknownRefusal(cleat.ReasonInDoubt, 0)
	default:
		// The claim may still have been committed; release the key, as this request will not run.
		e.recordOutcome(c, cleat.OutcomeNotRun, cleat.RecordedAnswer{})
		return nil, noQuorumRefusal()
	}
}

const claimRetryDelay = time.Second

func noQuorumRefusal() *detailedRefusal {
	refusal := newRefusal(cleat.ReasonNoQuorum, "")
	refusal.RetryAfter = claimRetryDelay
	return refusal
}

// newRanUnknownRefusal returns a refusal that leaves open whether a request with
// the same idempotency key ran.
func newRanUnknownRefusal(reason cleat.Reason, retryAfter time.Duration) *detailedRefusal {
	return &detailedRefusal{Refusal: cleat.Refusal{Reason: reason, Ran: cleat.RanUnknown, RetryAfter: retryAfter}}
}

// checkRecordedAnswer returns the recorded answer, or a refusal if its body was too
// large to record.
func checkRecordedAnswer(a *cleat.RecordedAnswer) (*cleat.RecordedAnswer, *detailedRefusal) {
	if a.BodyOmitted {
		return nil, &detailedRefusal{Refusal: cleat.Refusal{Reason: cleat.ReasonAnswerNotKept, Ran: cleat.RanYes}}
	}
	return a, nil
}

// recordOutcome stores the outcome of a claimed request.
func (e *Entry) recordOutcome(c *call, kind cleat.OutcomeKind, answer cleat.RecordedAnswer) {
	if c.work.IdempotencyKey == "" || e.claims == nil {
		return
	}
	e.claims.Record(cleat.ClaimOutcome{
		Workspace: c.work.Workspace,
		Key:       c.work.IdempotencyKey,
		Request:   c.work.ID,
		Outcome:   kind,
		Answer:    answer,
	})
}

// outcomeForRan maps whether a refused request ran to the outcome to record.
func outcomeForRan(r cleat.Ran) cleat.OutcomeKind {
	switch r {
	case cleat.RanNo:
		return cleat.OutcomeNotRun
	case cleat.RanYes:
		return cleat.OutcomeFailed
	default:
		return cleat.OutcomeUnknown
	}
}

// digest hashes what must be equal for two requests to share an idempotency key:
// method, target and body, each preceded by its length.
func (c *call) digest() []byte {
	h := sha256.New()
	for _, s := range [][]byte{[]byte(c.method), []byte(c.target), c.body} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		// Writing to a hash never fails.
		_, _ = h.Write(n[:])
		_, _ = h.Write(s)
	}
	return h.Sum(nil)
}

// answerRecorder keeps a copy of a claimed request's answer. A body longer than
// max bytes is omitted.
type answerRecorder struct {
	max    int
	answer cleat.RecordedAnswer
}

func (r *answerRecorder) setHead(status int, header []cleat.HeaderField) {
	r.answer.Status = status
	r.answer.Header = header
}

func (r *answerRecorder) appendBody(b []byte) {
	if r.answer.BodyOmitted || len(r.answer.Body)+len(b) > r.max {
		r.answer.BodyOmitted = true
		r.answer.Body = nil
		return
	}
	r.answer.Body = append(r.answer.Body, b...)
}

// writeRecordedAnswer answers with the answer recorded for an earlier request.
func writeRecordedAnswer(w http.ResponseWriter, id cleat.RequestID, a *cleat.RecordedAnswer) error {
	h := w.Header()
	copyAnswerHeader(h, a.Header)
	h.Del("Content-Length")
	h.Set(HeaderRan, string(cleat.RanYes))
	h.Set(HeaderRequest, string(id))
	h.Set(HeaderReplayed, "yes")
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	return err
}
