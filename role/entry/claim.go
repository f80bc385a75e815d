package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"

	"marigoldcleat.example/cleat"
)

// claim makes the durable claim on a request's idempotency key. It returns the
// recorded answer of an earlier request, or why this one can't run; neither
// when it may be dispatched once.
func (e *Entry) claim(c *call) (*cleat.RecordedAnswer, *problem) {
	if e.claims == nil {
		return nil, noQuorum()
	}
	limit := c.work.Received.Add(e.cfg.ClaimTimeout)
	if c.work.Deadline.Before(limit) {
		limit = c.work.Deadline
	}
	res := e.claims.Claim(cleat.Claim{
		Workspace: c.work.Workspace,
		Key:       c.work.Key,
		Request:   c.work.ID,
		Digest:    c.digest(),
	}, limit)
	if res.Mismatch {
		return nil, refused(cleat.ReasonKeyMismatch, "")
	}
	switch res.State {
	case cleat.ClaimGranted:
		return nil, nil
	case cleat.ClaimDone:
		return recorded(&res.Answer)
	case cleat.ClaimRunning:
		return nil, mayHaveRun(cleat.ReasonKeyInUse, claimRetryAfter)
	case cleat.ClaimInDoubt:
		return nil, mayHaveRun(cleat.ReasonInDoubt, 0)
	default:
		// The claim may still have been accepted; free it, as this request runs no more.
		e.record(c, cleat.OutcomeNotRun, cleat.RecordedAnswer{})
		return nil, noQuorum()
	}
}

const claimRetryAfter = time.Second

func noQuorum() *problem {
	p := refused(cleat.ReasonNoQuorum, "")
	p.RetryAfter = claimRetryAfter
	return p
}

func mayHaveRun(reason cleat.Reason, retryAfter time.Duration) *problem {
	return &problem{Refusal: cleat.Refusal{Reason: reason, Ran: cleat.RanUnknown, RetryAfter: retryAfter}}
}

func recorded(a *cleat.RecordedAnswer) (*cleat.RecordedAnswer, *problem) {
	if a.BodyOmitted {
		return nil, &problem{Refusal: cleat.Refusal{Reason: cleat.ReasonAnswerNotKept, Ran: cleat.RanYes}}
	}
	return a, nil
}

// record stores how a claimed request ended.
func (e *Entry) record(c *call, kind cleat.OutcomeKind, a cleat.RecordedAnswer) {
	if c.work.Key == "" || e.claims == nil {
		return
	}
	e.claims.Record(cleat.ClaimOutcome{
		Workspace: c.work.Workspace,
		Key:       c.work.Key,
		Request:   c.work.ID,
		Outcome:   kind,
		Answer:    a,
	})
}

// outcomeOf is the outcome to record for a refused request.
func outcomeOf(r cleat.Ran) cleat.OutcomeKind {
	switch r {
	case cleat.RanNo:
		return cleat.OutcomeNotRun
	case cleat.RanYes:
		return cleat.OutcomeFailed
	default:
		return cleat.OutcomeUnknown
	}
}

// digest covers everything that makes two requests the same one.
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

// recorder keeps a claimed request's answer up to a bound.
type recorder struct {
	max    int
	answer cleat.RecordedAnswer
}

func (r *recorder) head(status int, header []cleat.HeaderField) {
	r.answer.Status = status
	r.answer.Header = header
}

func (r *recorder) data(b []byte) {
	if r.answer.BodyOmitted || len(r.answer.Body)+len(b) > r.max {
		r.answer.BodyOmitted = true
		r.answer.Body = nil
		return
	}
	r.answer.Body = append(r.answer.Body, b...)
}

// replay answers with what was recorded for an earlier request.
func replay(w http.ResponseWriter, id cleat.RequestID, a *cleat.RecordedAnswer) error {
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
