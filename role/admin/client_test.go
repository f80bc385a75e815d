package admin_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/admin"
)

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admin")
}

// server answers every call with a status and a body.
func server(status int, body string) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
}

var _ = Describe("Client", func() {
	change := cleat.Change{Operation: "op"}

	cases := map[string]struct {
		status int
		body   string
		code   admin.Code
	}{
		"a refusal at once":                   {http.StatusConflict, `{"code":"refused","result":{"accepted":false}}`, admin.CodeRefused},
		"no quorum as nothing changed":        {http.StatusServiceUnavailable, `{"code":"not_accepted"}`, admin.CodeNotAccepted},
		"an unknown fate as such":             {http.StatusGatewayTimeout, `{"code":"fate_unknown"}`, admin.CodeFateUnknown},
		"a garbled answer as an unknown fate": {http.StatusBadGateway, `oops`, admin.CodeFateUnknown},
	}
	for name, c := range cases {
		It("reports "+name, func() {
			s := server(c.status, c.body)
			defer s.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			_, err := admin.NewClient([]string{s.URL}, "t").Change(ctx, change)
			var failed *admin.Error
			Expect(errors.As(err, &failed)).To(BeTrue())
			Expect(failed.Problem.Code).To(Equal(c.code))
		})
	}

	It("turns to the next instance when one is gone", func() {
		gone := server(http.StatusOK, "")
		gone.Close()
		s := server(http.StatusOK, `{"accepted":true,"revision":7}`)
		defer s.Close()
		r, err := admin.NewClient([]string{gone.URL, s.URL}, "t").Change(context.Background(), change)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Revision).To(Equal(cleat.Revision(7)))
	})

	It("says nothing changed when no instance can be reached", func() {
		gone := server(http.StatusOK, "")
		gone.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := admin.NewClient([]string{gone.URL}, "t").Change(ctx, change)
		var failed *admin.Error
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Problem.Code).To(Equal(admin.CodeNotAccepted))
	})
})
