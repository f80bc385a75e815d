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

// Size of the randomised run; CLEAT_SOAK_SEED takes another seed.
const (
	soakSeed    = 1
	soakCallers = 8
	soakAsks    = 25 // By each caller.
	soakTokens  = 60
	soakPause   = 150 * time.Millisecond // Longest time between two faults.
)

// disturber breaks links and agents at random.
type disturber struct {
	f     *fleet
	rnd   *rand.Rand
	names []string
}

func (d *disturber) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			for _, id := range d.names {
				d.f.relays[id].Heal()
			}
			return
		case <-time.After(time.Duration(d.rnd.Int63n(int64(soakPause)))):
			d.disturb(d.names[d.rnd.Intn(len(d.names))])
		}
	}
}

func (d *disturber) disturb(id string) {
	r := d.f.relays[id]
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

// restart kills an agent and starts its next life at the same HTTP address.
func (d *disturber) restart(id string) {
	old := d.f.agents[id]
	d.f.dialer.Drop(d.f.relays[id].Addr())
	old.Close()
	<-old.ended
	d.f.addAt(id, old.HTTPAddr())
}

var _ = Describe("Entry and agents under random faults", func() {
	It("run no action twice, tell the truth, and cut no answer that they call whole", func() {
		seed := int64(soakSeed)
		if s, err := strconv.ParseInt(os.Getenv("CLEAT_SOAK_SEED"), 10, 64); err == nil {
			seed = s
		}
		f := startFleet()
		d := &disturber{f: f, rnd: rand.New(rand.NewSource(seed)), names: []string{"a1", "a2", "a3"}}
		var desks []*fakes.Plain
		for i, id := range d.names {
			a := f.add(id)
			startEngine(a, func(c *fakes.EngineConfig) {
				slow(c)
				c.ID = cleat.UpstreamID(fmt.Sprint("e", i))
			})
			p, err := fakes.StartPlain(fakes.PlainConfig{
				ID: cleat.UpstreamID(fmt.Sprint("p", i)), Pool: "desk", AgentURL: "http://" + a.HTTPAddr(),
				Busy: 20 * time.Millisecond, AnnounceInterval: 50 * time.Millisecond,
			})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(p.Close)
			desks = append(desks, p)
		}
		var mu sync.Mutex
		replies, counts := make(map[string]reply), make(map[string]int)
		stop := make(chan struct{})
		var disturbing, callers sync.WaitGroup
		disturbing.Go(func() { d.run(stop) })
		for c := range soakCallers {
			callers.Go(func() {
				defer GinkgoRecover()
				for n := range soakAsks {
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
					checkAction(r, path, desks)
					mu.Lock()
					replies[path] = r
					mu.Unlock()
				}
			})
		}
		callers.Wait()
		close(stop)
		disturbing.Wait()
		for path, r := range replies {
			checkAction(r, path, desks)
			counts[fmt.Sprint("action ", r.status, " ", r.reason, " ran:", r.ran, " cut:", r.err != nil)]++
		}
		GinkgoWriter.Println(seed, counts)
	})
})

func checkChat(r reply) {
	if r.err == nil && r.status == http.StatusOK {
		wholeStream([]byte(r.text), soakTokens)
	}
}

func checkAction(r reply, path string, desks []*fakes.Plain) {
	runs := 0
	for _, p := range desks {
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
