package main

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const waitTimeout = 20 * time.Second

func TestSolo(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "solo")
}

var _ = Describe("solo", func() {
	var s *solo
	var runErr chan error

	BeforeEach(func() {
		var err error
		s, err = start(loopbackAddr, log.New(io.Discard))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.cleanUp)
		// The goroutine uses copies, because the next spec reassigns s and runErr.
		fleet, errs := s, make(chan error, 1)
		runErr = errs
		go func() { errs <- fleet.Run() }()
		Eventually(s.ready, waitTimeout).Should(BeTrue())
	})

	post := func(path, body string, header ...string) (*http.Response, string) {
		req, err := http.NewRequest(http.MethodPost, "http://"+s.addr()+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+demoKey)
		for i := 0; i < len(header); i += 2 {
			req.Header.Set(header[i], header[i+1])
		}
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp, string(b)
	}

	It("streams a draft and runs an action once", func() {
		resp, text := post("/v1/chat/completions", `{"model":"catalogue","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"x"}]}`)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
		for range 3 {
			resp, text = post("/print-orders", "{}", "Idempotency-Key", "order-1")
			Expect(resp.StatusCode).To(Equal(http.StatusOK), text)
			Expect(text).To(ContainSubstring(`"runs":1`))
		}
	})

	It("finishes a streamed answer before a drain ends", func() {
		answered := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, text := post("/v1/chat/completions", `{"model":"catalogue","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"x"}]}`)
			answered <- text
		}()
		Eventually(func() int { return s.agents[0].Running() + s.agents[1].Running() }, waitTimeout).Should(Equal(1))
		Expect(s.Abandoned()).To(ContainSubstring(string(demoWorkspace)))
		s.Drain()
		Eventually(answered, waitTimeout).Should(Receive(HaveSuffix("data: [DONE]\n\n")))
		Eventually(runErr, waitTimeout).Should(Receive(BeNil()))
	})

	// A data race when a spec failed at its start, so that the fleet was stopped while it became ready.
	It("is stopped while it announces that it is ready", func() {
		announced := make(chan struct{})
		go func() {
			defer close(announced)
			printWelcome(s)
		}()
		Expect(s.stopControl()).To(Succeed())
		Eventually(announced, waitTimeout).Should(BeClosed())
	})
})
