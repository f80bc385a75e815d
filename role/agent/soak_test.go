package agent_test

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/fakes"
)

// Size and seed of the randomised run; CLEAT_SOAK_SEED overrides the seed.
const (
	soakSeed             = 1
	soakCallers          = 8
	soakRequests         = 25 // Requests of each caller.
	soakTokens           = 60
	soakMaxFaultInterval = 150 * time.Millisecond // Longest time between two faults.
)

// faultInjector cuts, silences and heals links and restarts agents at random.
type faultInjector struct {
	fleet    *fleet
	rnd      *rand.Rand
	agentIDs []string
}

func (d *faultInjector) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			for _, id := range d.agentIDs {
				d.fleet.relays[id].Heal()
			}
			return
		case <-time.After(time.Duration(d.rnd.Int63n(int64(soakMaxFaultInterval)))):
			d.injectFault(d.agentIDs[d.rnd.Intn(len(d.agentIDs))])
		}
	}
}

func (d *faultInjector) injectFault(id string) {
	r := d.fleet.relays[id]
	switch n := d.rnd.Intn(10); {
	case n < 3:
		r.Cut()
	case n < 5:
		r.Silence()
	case n < 9:
		r.Heal()
	default:
		d.restart(id)
	}
}

// restart kills an agent and starts its next incarnation at the same HTTP address.
func (d *faultInjector) restart(id string) {
	previous := d.fleet.agents[id]
	d.fleet.dialer.RemoveAddress(d.fleet.relays[id].Addr())
	previous.Close()
	<-previous.runResult
	d.fleet.addAgentAt(id, previous.HTTPAddr())
}

var _ = Describe("Entry and agents under random faults", func() {
	It("run no action twice, report correctly whether it ran, and never report a truncated answer as complete", func() {
		seed := int64(soakSeed)
		if s, err := strconv.ParseInt(os.Getenv("CLEAT_SOAK_SEED"), 10, 64); err == nil {
			seed = s
		}
		f := startFleet()
		d := &faultInjector{fleet: f, rnd: rand.New(rand.NewSource(seed)), agentIDs: []string{"a1", "a2", "a3"}}
		var plains []*fakes.Plain
		for i, id := range d.agentIDs {
			a := f.addAgent(id)
			startEngine(a, func(c *fakes.EngineConfig) {
				slowTokens(c)
				c.ID = cleat.UpstreamID(fmt.Sprint("e", i))
			})
			p, err := fakes.StartPlain(fakes.PlainConfig{
				ID: cleat.UpstreamID(fmt.Sprint("p", i)), Pool: "desk", AgentURL: "http://" + a.HTTPAddr(),
				ServiceTime: 20 * time.Millisecond, AnnounceInterval: 50 * time.Millisecond,
			})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(p.Close)
			plains = append(plains, p)
		}
		var mu sync.Mutex
		replies, counts := make(map[string]reply), make(map[string]int)
		stop := make(chan struct{})
		var injecting, callers sync.WaitGroup
		injecting.Go(func() { d.run(stop) })
		for c := range soakCallers {
			callers.Go(func() {
				defer GinkgoRecover()
				for n := range soakRequests {
					if n%2 == 0 {
						r := f.post(cleat.ChatPath, chatBody(soakTokens))
						checkChat(r)
						mu.Lock()
						counts[fmt.Sprint("chat ", r.status, " ", r.reason, " cut:", r.err != nil)]++
						mu.Unlock()
						continue
					}
					path := fmt.Sprintf("/pay/%d/%d", c, n)
					r := f.post(path, "{}")
					checkAction(r, path, plains)
					mu.Lock()
					replies[path] = r
					mu.Unlock()
				}
			})
		}
		callers.Wait()
		close(stop)
		injecting.Wait()
		for path, r := range replies {
			checkAction(r, path, plains)
			counts[fmt.Sprint("action ", r.status, " ", r.reason, " ran:", r.ran, " cut:", r.err != nil)]++
		}
		GinkgoWriter.Println(seed, counts)
	})
})

func checkChat(r reply) {
	if r.err == nil && r.status == http.StatusOK {
		expectCompleteStream([]byte(r.text), soakTokens)
	}
}

func checkAction(r reply, path string, plains []*fakes.Plain) {
	runs := 0
	for _, p := range plains {
		runs += p.RunsAt(path)
	}
	Expect(runs).To(BeNumerically("<=", 1), path)
	switch {
	case r.status == http.StatusOK || r.ran == "yes":
		Expect(runs).To(Equal(1), "%s: %v", path, r)
	case r.ran == "no":
		Expect(runs).To(BeZero(), "%s: %v", path, r)
	default:
		Expect(r.err != nil || r.ran == "unknown").To(BeTrue(), "%s: %v", path, r)
	}
}
