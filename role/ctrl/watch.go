package ctrl

import (
	"time"

	"marigoldcleat.example/cleat/state/quorum"
)

// quorumWatch tells when a quorum is lost and when it is back.
type quorumWatch struct {
	confirmedAt time.Time // When a quorum last answered, or this instance started.
	lost        bool      // No quorum has answered since the start, or since it was lost.
	reported    bool      // The loss was reported.
}

// recordFailure reports whether the loss is to be logged now: once, when no quorum has
// answered for maxAge.
func (w *quorumWatch) recordFailure(now time.Time, maxAge time.Duration) bool {
	if w.reported || now.Sub(w.confirmedAt) <= maxAge {
		return false
	}
	w.lost, w.reported = true, true
	return true
}

// recordSuccess reports whether a quorum is back, and how long it was missed.
func (w *quorumWatch) recordSuccess(now time.Time) (time.Duration, bool) {
	gap, back := now.Sub(w.confirmedAt), w.lost
	*w = quorumWatch{confirmedAt: now}
	return gap, back
}

// logNoQuorum logs what this instance knows of the log while no quorum answers.
func (r *Role) logNoQuorum(now time.Time, w *quorumWatch, err error) {
	s := r.host.Status()
	voters, linked := 0, 0
	r.mu.Lock()
	for _, m := range s.Members {
		if m.Learner {
			continue
		}
		voters++
		if _, ok := r.peers[m.Instance]; ok || m.Instance == s.Instance {
			linked++
		}
	}
	r.mu.Unlock()
	r.log.Warn("no quorum answers", "for", now.Sub(w.confirmedAt).Round(time.Millisecond), "duty", s.Role, "term", s.Term, "leader", s.Leader,
		"voters", voters, "voters_linked", linked, "member", isMember(s.Members, s.Replica), "changing", s.ChangePending,
		"last", s.LastIndex, "commit", s.Commit, "candidates", candidateNames(s.JoinCandidates), "err", err)
}

func candidateNames(list []quorum.JoinCandidate) []string {
	names := make([]string, 0, len(list))
	for _, c := range list {
		names = append(names, string(c.Instance))
	}
	return names
}
