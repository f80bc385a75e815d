package ctrl_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/member"
	"marigoldcleat.example/cleat/role/admin"
	"marigoldcleat.example/cleat/role/ctrl"
	"marigoldcleat.example/cleat/role/node"
	"marigoldcleat.example/cleat/stand/fdisk"
	"marigoldcleat.example/cleat/state/config"
)

// newChange returns a change of one setting; an empty value deletes it.
func newChange(operation, path, value string) cleat.Change {
	c := cleat.Change{Operation: operation, Ops: []cleat.ChangeOp{{Path: path}}}
	if value != "" {
		c.Ops[0].Value = json.RawMessage(value)
	}
	return c
}

// problemCode returns the code of an API error, or an empty code for another error.
func problemCode(err error) admin.Code {
	var failed *admin.Error
	if errors.As(err, &failed) {
		return failed.Problem.Code
	}
	return ""
}

// post sends a body as it is and returns the status of the answer.
func post(f *fleet, path, body string) int {
	req, err := http.NewRequest(http.MethodPost, f.instances[0].url()+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+f.token)
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	return resp.StatusCode
}

var _ = Describe("Role", func() {
	ctx := context.Background()

	Describe("as the only instance", func() {
		var f *fleet
		BeforeEach(func() { f = newFleet("c1") })
		AfterEach(func() { f.stop() })

		It("applies changes on a node and reports the revision that it runs", func() {
			n, stop := f.startNode("entry", cleat.RoleEntry, node.Config{}, nil)
			defer stop()
			Eventually(func() bool { _, ok := n.Fleet(); return ok }, eventuallyTimeout).Should(BeTrue())
			r, err := f.client().Change(ctx, newChange("a", "/fleet/limits", `{"max_waiting":7}`))
			Expect(err).NotTo(HaveOccurred())
			Eventually(func() cleat.Revision { f, _ := n.Fleet(); return f.Revision() }, eventuallyTimeout).Should(Equal(r.Revision))
			fleet, _ := n.Fleet()
			Expect(fleet.Limits().MaxWaiting).To(Equal(7))
			var s admin.FleetStatus
			Eventually(func() int {
				Expect(f.client().Get(ctx, admin.PathStatus, nil, &s)).To(Succeed())
				return s.LaggingNodes
			}, eventuallyTimeout).Should(BeZero())
			Expect(s.Nodes).To(HaveLen(1))
			Expect(s.Nodes[0].Revision).To(Equal(r.Revision))
		})

		It("answers a resent change with its first result and a conflicting one with the current value", func() {
			c := f.client()
			zero := cleat.Revision(0)
			first := newChange("op-1", "/fleet/limits", `{"max_waiting":1}`)
			first.Ops[0].Expected = &zero
			r, err := c.Change(ctx, first)
			Expect(err).NotTo(HaveOccurred())
			racing := newChange("op-2", "/fleet/limits", `{"max_waiting":2}`)
			racing.Ops[0].Expected = &zero
			lost, err := c.Change(ctx, racing)
			Expect(problemCode(err)).To(Equal(admin.CodeRefused))
			Expect(lost.Code).To(Equal(cleat.ChangeConflict))
			Expect(string(lost.Conflict.Value)).To(Equal(`{"max_waiting":1}`))
			again, err := c.Change(ctx, first)
			Expect(err).NotTo(HaveOccurred())
			Expect(again.Revision).To(Equal(r.Revision))
			_, err = c.Change(ctx, newChange("op-1", "/fleet/limits", ""))
			Expect(problemCode(err)).To(Equal(admin.CodeRefused))
		})

		It("restricts a team's token to its subtree", func() {
			change := admin.TokenChange{
				Operation: "t", Hash: cleat.HashKey("team"), Create: &config.Token{ID: "ring", Subtree: "/teams/ring", Write: true},
			}
			Expect(f.client().Post(ctx, admin.PathTokens, change, nil)).To(Succeed())
			team := admin.NewClient([]string{f.instances[0].url()}, "team")
			_, err := team.Change(ctx, newChange("1", "/teams/ring/workspaces/desk", `{}`))
			Expect(err).NotTo(HaveOccurred())
			r, err := team.Change(ctx, newChange("2", "/teams/lots/workspaces/desk", `{}`))
			Expect(err).To(HaveOccurred())
			Expect(r.Code).To(Equal(cleat.ChangeForbidden))
			Expect(problemCode(team.Get(ctx, admin.PathStatus, nil, nil))).To(Equal(admin.CodeForbidden))
			q := url.Values{"path": {"/teams/lots/workspaces/desk"}}
			Expect(problemCode(team.Get(ctx, admin.PathSetting, q, nil))).To(Equal(admin.CodeForbidden))
			unknown := admin.NewClient([]string{f.instances[0].url()}, "nobody")
			Expect(problemCode(unknown.Get(ctx, admin.PathSettings, nil, nil))).To(Equal(admin.CodeUnauthorised))
			var tokens admin.Tokens
			Expect(f.client().Get(ctx, admin.PathTokens, nil, &tokens)).To(Succeed())
			Expect(tokens.Tokens).To(HaveLen(2))
		})

		It("answers a watch as soon as a change is accepted", func() {
			c := f.client()
			answer := make(chan admin.Watch, 1)
			go func() {
				defer GinkgoRecover()
				w, err := c.Watch(ctx, "/fleet", 0, 10*time.Second)
				Expect(err).NotTo(HaveOccurred())
				answer <- w
			}()
			_, err := c.Change(ctx, newChange("w", "/fleet/limits", `{}`))
			Expect(err).NotTo(HaveOccurred())
			var w admin.Watch
			Eventually(answer, eventuallyTimeout).Should(Receive(&w))
			Expect(w.Written).To(HaveLen(1))
		})

		It("rejects malformed changes and requests without a token", func() {
			for _, body := range []string{"nonsense", `{"unknown":1}`, `{"operation":"x","ops":[{"path":"/nowhere","value":{}}]}`} {
				Expect(post(f, admin.PathChanges, body)).To(BeNumerically(">=", 400))
			}
			resp, err := http.Get(f.instances[0].url() + admin.PathSettings)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(resp.StatusCode).To(Equal(http.StatusUnauthorized))
		})

		It("grants a claim once and answers repeats with the outcome", func() {
			n, stop := f.startNode("entry", cleat.RoleEntry, node.Config{}, nil)
			defer stop()
			deadline := func() time.Time { return time.Now().Add(eventuallyTimeout) }
			m := cleat.Claim{Workspace: "ring/desk", Key: "k", Request: "r1", Digest: []byte("d")}
			Expect(n.Claim(m, deadline()).State).To(Equal(cleat.ClaimGranted))
			m.Request = "r2"
			Expect(n.Claim(m, deadline()).State).To(Equal(cleat.ClaimRunning))
			n.Record(cleat.ClaimOutcome{
				Workspace: "ring/desk", Key: "k", Request: "r1", Outcome: cleat.OutcomeDone,
				Answer: cleat.RecordedAnswer{Status: 201, Body: []byte("paid")},
			})
			Eventually(func() cleat.ClaimState { return n.Claim(m, deadline()).State }, eventuallyTimeout).Should(Equal(cleat.ClaimDone))
			Expect(n.Claim(m, deadline()).Answer.Body).To(Equal([]byte("paid")))
		})

		It("sums a workspace over entries and agents without counting twice", func() {
			reporting := func(s cleat.WorkspaceStatus) node.Config {
				s.Workspace = "ring/desk"
				return node.Config{Register: func() cleat.Register { return cleat.Register{Status: []cleat.WorkspaceStatus{s}} }}
			}
			entry := reporting(cleat.WorkspaceStatus{Waiting: 3, Running: 2, Refused: map[cleat.Reason]uint64{cleat.ReasonDeadline: 1}})
			_, stop := f.startNode("entry", cleat.RoleEntry, entry, nil)
			defer stop()
			_, stopAgent := f.startNode("agent", cleat.RoleAgent, reporting(cleat.WorkspaceStatus{Running: 2, Served: 5}), nil)
			defer stopAgent()
			_, err := f.client().Change(ctx, cleat.Change{Operation: "w", Ops: []cleat.ChangeOp{
				{Path: "/teams/ring/workspaces/desk", Value: json.RawMessage(`{}`)},
				{Path: "/fleet/shares/ring/desk", Value: json.RawMessage(`{"share":2}`)},
			}})
			Expect(err).NotTo(HaveOccurred())
			var s admin.WorkspaceStatus
			Eventually(func() int {
				Expect(f.client().Get(ctx, admin.PathWorkspace, url.Values{"workspace": {"ring/desk"}}, &s)).To(Succeed())
				return s.Reporting
			}, eventuallyTimeout).Should(Equal(2))
			Expect(s).To(Equal(admin.WorkspaceStatus{
				Workspace: "ring/desk", Share: 2, Waiting: 3, Running: 2, Served: 5, Reporting: 2,
				Refused: map[cleat.Reason]uint64{cleat.ReasonDeadline: 1},
			}))
		})

		It("orders an agent to load a model and records the result", func() {
			var mu sync.Mutex
			models := []cleat.ModelID{}
			register := func() cleat.Register {
				mu.Lock()
				defer mu.Unlock()
				return cleat.Register{Upstreams: []cleat.HostedUpstream{{Upstream: "engine", Kind: cleat.KindModel, Models: models, CanLoad: true}}}
			}
			orders := make(chan cleat.Order, 10)
			_, stop := f.startNode("agent", cleat.RoleAgent, node.Config{Register: register, StatusInterval: 100 * time.Millisecond}, func(c *node.Client) {
				c.OnOrder(func(o cleat.Order) cleat.OrderResult {
					orders <- o
					mu.Lock()
					defer mu.Unlock()
					models = []cleat.ModelID{o.Model}
					return cleat.OrderResult{Done: true}
				})
			})
			defer stop()
			_, err := f.client().Change(ctx, newChange("p", "/fleet/placement/catalogue", `{"min":1,"max":1}`))
			Expect(err).NotTo(HaveOccurred())
			var o cleat.Order
			Eventually(orders, eventuallyTimeout).Should(Receive(&o))
			Expect(o.Model).To(Equal(cleat.ModelID("catalogue")))
			Expect(o.Fence).NotTo(BeZero())
			var s admin.FleetStatus
			Eventually(func() int {
				Expect(f.client().Get(ctx, admin.PathStatus, nil, &s)).To(Succeed())
				return len(s.Orders)
			}, eventuallyTimeout).Should(BeZero())
		})
	})

	// A repeat sent right after the first answer got 409 key_in_use.
	It("handles a claim after the outcome that its node sent before", func() {
		f := newFleet("c1", "c2", "c3")
		defer f.stop()
		n, stop := f.startNode("n1", cleat.RoleEntry, node.Config{}, nil)
		defer stop()
		var g sync.WaitGroup
		var running atomic.Int64
		for w := range 16 {
			g.Go(func() {
				defer GinkgoRecover()
				for i := range 40 {
					m := cleat.Claim{Workspace: "ring/desk", Key: fmt.Sprintf("%d-%d", w, i), Request: "first"}
					Expect(n.Claim(m, time.Now().Add(eventuallyTimeout)).State).To(Equal(cleat.ClaimGranted))
					n.Record(cleat.ClaimOutcome{Workspace: m.Workspace, Key: m.Key, Request: "first", Outcome: cleat.OutcomeDone})
					m.Request = "second"
					if n.Claim(m, time.Now().Add(eventuallyTimeout)).State != cleat.ClaimDone {
						running.Add(1)
					}
				}
			})
		}
		g.Wait()
		Expect(running.Load()).To(BeZero())
	})

	It("puts the claims of a lost entry in doubt and never grants them again", func() {
		f := newConfiguredFleet(func(cfg *ctrl.Config) {
			cfg.HolderLostAfter = time.Second
			cfg.Member = member.Config{SuspectAfter: time.Second, DeadAfter: 2 * time.Second, SettleTime: time.Second}
		}, "c1")
		defer f.stop()
		lost, stopLost := f.startNode("lost", cleat.RoleEntry, node.Config{}, nil)
		m := cleat.Claim{Workspace: "ring/desk", Key: "k", Request: "r1"}
		Expect(lost.Claim(m, time.Now().Add(eventuallyTimeout)).State).To(Equal(cleat.ClaimGranted))
		stopLost()
		n, stop := f.startNode("other", cleat.RoleEntry, node.Config{}, nil)
		defer stop()
		m.Request = "r2"
		Expect(n.Claim(m, time.Now().Add(eventuallyTimeout)).State).To(Equal(cleat.ClaimRunning))
		Eventually(func() cleat.ClaimState { return n.Claim(m, time.Now().Add(eventuallyTimeout)).State }, eventuallyTimeout).Should(Equal(cleat.ClaimInDoubt))
		n.Record(cleat.ClaimOutcome{Workspace: m.Workspace, Key: m.Key, Request: "r1", Outcome: cleat.OutcomeNotRun})
		Consistently(func() cleat.ClaimState { return n.Claim(m, time.Now().Add(eventuallyTimeout)).State }, "500ms").Should(Equal(cleat.ClaimInDoubt))
	})

	It("accepts no change while its disk is full, reports the error, and accepts changes again once there is room", func() {
		disk := fdisk.New(rand.New(rand.NewSource(1)))
		f := newConfiguredFleet(func(cfg *ctrl.Config) { cfg.Disk = disk }, "c1")
		defer f.stop()
		_, err := f.client().Change(ctx, newChange("before", "/fleet/classes/before", `{}`))
		Expect(err).NotTo(HaveOccurred())
		disk.SetCapacity(1)
		shortCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		_, err = f.client().Change(shortCtx, newChange("full", "/fleet/classes/full", `{}`))
		Expect(problemCode(err)).To(BeElementOf(admin.CodeNotAccepted, admin.CodeOutcomeUnknown))
		var s admin.ControlStatus
		Expect(f.client().Get(ctx, admin.PathControl, nil, &s)).To(Succeed())
		Expect(s.DiskError).NotTo(BeEmpty())
		disk.SetCapacity(0)
		Eventually(func() error {
			_, err := f.client().Change(ctx, newChange("full", "/fleet/classes/full", `{}`))
			return err
		}, eventuallyTimeout).Should(Succeed())
	})

	Describe("with three instances", func() {
		It("loses no accepted change or claim when each instance is killed in turn under load", func() {
			f := newFleet("c1", "c2", "c3")
			defer f.stop()
			n, stop := f.startNode("entry", cleat.RoleEntry, node.Config{}, nil)
			defer stop()
			w := newWriter(f, n)
			w.start()
			for _, i := range f.instances {
				i.kill()
				w.awaitProgress(10)
				i.start()
				w.awaitProgress(10)
			}
			w.stop()
			w.verify(ctx)
		})

		It("lists members that register with other instances and keeps them across a restart", func() {
			f := newFleet("c1", "c2", "c3")
			defer f.stop()
			var mu sync.Mutex
			fewest, seen := 0, map[string]int{}
			for i := range 5 {
				name := fmt.Sprint("n", i)
				_, stop := f.startNode(name, cleat.RoleAgent, node.Config{}, func(c *node.Client) {
					c.OnMembers(func(list []cleat.Member) {
						mu.Lock()
						defer mu.Unlock()
						seen[name] = len(list)
					})
				})
				defer stop()
			}
			fewestMembers := func() int {
				mu.Lock()
				defer mu.Unlock()
				fewest = 99
				for i := range 5 {
					fewest = min(fewest, seen[fmt.Sprint("n", i)])
				}
				return fewest
			}
			Eventually(fewestMembers, eventuallyTimeout).Should(Equal(5))
			var s admin.FleetStatus
			Expect(f.client().Get(ctx, admin.PathStatus, nil, &s)).To(Succeed())
			Expect(s.Nodes).To(HaveLen(5))
			Expect(s.Unreachable).To(BeEmpty())
			for _, i := range f.instances {
				i.stop()
			}
			for _, i := range f.instances {
				i.start()
			}
			Consistently(fewestMembers, 5*time.Second).Should(Equal(5))
		})

		It("restores a new log from the state of the last instance after the others are lost", func() {
			f := newFleet("c1", "c2", "c3")
			_, err := f.client().Change(ctx, newChange("before", "/fleet/limits", `{"max_waiting":5}`))
			Expect(err).NotTo(HaveOccurred())
			survivor := f.instances[0]
			survivorClient := admin.NewClient([]string{survivor.url()}, f.token)
			Expect(survivorClient.Get(ctx, admin.PathSettings, nil, nil)).To(Succeed())
			f.instances[1].kill()
			f.instances[2].kill()
			var state admin.State
			Expect(survivorClient.Get(ctx, admin.PathState, nil, &state)).To(Succeed())
			survivor.stop()
			seed := filepath.Join(f.folder, "seed")
			Expect(os.WriteFile(seed, state.State, 0o600)).To(Succeed())
			fresh := newInstance("c1", []cleat.InstanceID{"c1"}, GinkgoT().TempDir(), f.controlFile())
			fresh.cfg.Seed = seed
			fresh.start()
			f.instances = []*instance{fresh}
			defer f.stop()
			var r cleat.ChangeResult
			Eventually(func() error {
				r, err = f.client().Change(ctx, newChange("before", "/fleet/limits", `{"max_waiting":5}`))
				return err
			}, eventuallyTimeout).Should(Succeed())
			Expect(r.Revision).To(Equal(cleat.Revision(1)))
			var list admin.Settings
			Expect(f.client().Get(ctx, admin.PathSettings, nil, &list)).To(Succeed())
			Expect(list.Revision).To(Equal(cleat.Revision(1 + config.RestoreRevisionGap)))
		})

		It("replaces an instance that lost its disk", func() {
			f := newFleet("c1", "c2", "c3")
			defer f.stop()
			_, err := f.client().Change(ctx, newChange("before", "/fleet/limits", `{"max_waiting":5}`))
			Expect(err).NotTo(HaveOccurred())
			f.instances[2].stop()
			f.instances[2] = newInstance("c3", []cleat.InstanceID{"c1", "c2", "c3"}, GinkgoT().TempDir(), f.controlFile())
			f.instances[2].start()
			f.writeControlFile()
			replace := admin.ReplicaChange{Action: cleat.ReplicaReplace, Instance: "c3"}
			Expect(f.client().Post(ctx, admin.PathReplicas, replace, nil)).To(Succeed())
			f.instances[0].stop()
			f.instances[0].start()
			f.instances[1].stop()
			replacedClient := admin.NewClient([]string{f.instances[2].url()}, f.token)
			var s cleat.Setting
			Eventually(func() error {
				return replacedClient.Get(ctx, admin.PathSetting, url.Values{"path": {"/fleet/limits"}}, &s)
			}, eventuallyTimeout).Should(Succeed())
			Expect(string(s.Value)).To(Equal(`{"max_waiting":5}`))
			f.instances[1].start()
		})
	})
})

// writer makes changes and claims until stopped and records what was accepted.
type writer struct {
	fleet  *fleet
	client *admin.Client
	node   *node.Client
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	changes map[string]cleat.ChangeResult
	claimed map[string]bool
}

func newWriter(f *fleet, n *node.Client) *writer {
	w := &writer{fleet: f, client: f.client(), node: n, changes: map[string]cleat.ChangeResult{}, claimed: map[string]bool{}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

func (w *writer) start() {
	w.done.Go(func() {
		for i := 0; w.ctx.Err() == nil; i++ {
			w.change(fmt.Sprint("c", i))
		}
	})
	w.done.Go(func() {
		for i := 0; w.ctx.Err() == nil; i++ {
			w.claim(fmt.Sprint("p", i))
		}
	})
}

func classPath(id string) string { return "/fleet/classes/" + id }

func (w *writer) change(id string) {
	r, err := w.client.Change(w.ctx, newChange(id, classPath(id), `{"rank":1}`))
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changes[id] = r
}

func (w *writer) claim(key string) {
	m := cleat.Claim{Workspace: "ring/desk", Key: key, Request: cleat.RequestID(key)}
	if w.node.Claim(m, time.Now().Add(eventuallyTimeout)).State != cleat.ClaimGranted {
		return
	}
	w.node.Record(cleat.ClaimOutcome{
		Workspace: m.Workspace, Key: key, Request: m.Request, Outcome: cleat.OutcomeDone, Answer: cleat.RecordedAnswer{Status: 200},
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.claimed[key] = true
}

// accepted returns the lesser of the numbers of accepted changes and claims.
func (w *writer) accepted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return min(len(w.changes), len(w.claimed))
}

// awaitProgress waits until the number returned by accepted has risen by n.
func (w *writer) awaitProgress(n int) {
	before := w.accepted()
	Eventually(w.accepted, eventuallyTimeout).Should(BeNumerically(">=", before+n))
}

func (w *writer) stop() {
	w.cancel()
	w.done.Wait()
}

// verify checks that every instance has all accepted changes, that a resent change gets
// its first result, and that all granted claims are answered with their outcome.
func (w *writer) verify(ctx context.Context) {
	for _, i := range w.fleet.instances {
		c := admin.NewClient([]string{i.url()}, w.fleet.token)
		var list admin.Settings
		Eventually(func() error { return c.Get(ctx, admin.PathSettings, nil, &list) }, eventuallyTimeout).Should(Succeed())
		stored := make(map[string]cleat.Revision)
		for _, s := range list.Settings {
			stored[s.Path] = s.Revision
		}
		for id, r := range w.changes {
			Expect(stored).To(HaveKeyWithValue(classPath(id), r.Revision))
		}
	}
	for id, r := range w.changes {
		again, err := w.client.Change(ctx, newChange(id, classPath(id), `{"rank":1}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Revision).To(Equal(r.Revision))
		break
	}
	for key := range w.claimed {
		m := cleat.Claim{Workspace: "ring/desk", Key: key, Request: "again"}
		Eventually(func() cleat.ClaimState { return w.node.Claim(m, time.Now().Add(eventuallyTimeout)).State }, eventuallyTimeout).Should(Equal(cleat.ClaimDone))
	}
	f, ok := w.node.Fleet()
	Expect(ok).To(BeTrue())
	Expect(f.Revision()).NotTo(BeZero())
	GinkgoWriter.Printf("%d changes and %d claims accepted\n", len(w.changes), len(w.claimed))
}
