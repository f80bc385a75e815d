package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/role/ctrl"
)

func TestCleatctl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cleatctl")
}

var _ = Describe("cleatctl", func() {
	var (
		role   *ctrl.Role
		ended  chan error
		folder string
	)

	BeforeEach(func() {
		folder = GinkgoT().TempDir()
		var err error
		role, err = ctrl.Open(ctrl.Config{
			ID: "c1", Listen: "127.0.0.1:0", HTTP: "127.0.0.1:0", DataFolder: folder,
			Wire: wire.Config{Key: []byte("a key of sixteen bytes or more")},
		}, log.New(GinkgoWriter))
		Expect(err).NotTo(HaveOccurred())
		ended = make(chan error, 1)
		go func() { ended <- role.Run() }()
		Eventually(func() bool { _, ok := role.RootToken(); return ok }, "30s").Should(BeTrue())
	})

	AfterEach(func() {
		role.Close()
		Eventually(ended, "30s").Should(Receive())
	})

	do := func(args ...string) (code int, out string) {
		var stdout, stderr bytes.Buffer
		args = append([]string{"--server", role.HTTPAddr(), "--token-file", filepath.Join(folder, "root-token")}, args...)
		code = execute(context.Background(), args, &stdout, &stderr)
		return code, stdout.String() + stderr.String()
	}
	must := func(args ...string) string {
		code, out := do(args...)
		Expect(code).To(Equal(exitOK), out)
		return out
	}

	It("sets, reads, lists and deletes, with honest exit codes", func() {
		value := filepath.Join(folder, "limits.json")
		Expect(os.WriteFile(value, []byte(`{"max_waiting":3}`), 0o600)).To(Succeed())
		must("set", "--file", value, "/fleet/limits")
		Expect(must("get", "/fleet/limits")).To(Equal("{\"max_waiting\":3}\n"))
		must("set", "/fleet/classes/draft", `{"rank":1}`, "/fleet/classes/query", `{"rank":2}`)
		Expect(must("list", "/fleet/classes")).To(ContainSubstring("/fleet/classes/query"))
		Expect(must("history", "-n", "1")).To(ContainSubstring("root"))
		code, out := do("set", "--expect", "new", "/fleet/limits", `{}`)
		Expect(code).To(Equal(exitRefused))
		Expect(out).To(ContainSubstring(`the current value is {"max_waiting":3}`))
		must("delete", "/fleet/limits")
		code, _ = do("get", "/fleet/limits")
		Expect(code).To(Equal(exitNotFound))
		code, _ = do("set", "/fleet/limits", `{"max_waiting":-1}`)
		Expect(code).To(Equal(exitRefused))
		code, _ = do("set", "/fleet/limits")
		Expect(code).To(Equal(exitError))
		code, _ = do("--token", "wrong", "list")
		Expect(code).To(Equal(exitForbidden))
	})

	It("carries a resent change out once", func() {
		Expect(must("set", "--operation", "op-1", "/fleet/limits", `{}`)).To(ContainSubstring("revision 1"))
		must("set", "/fleet/limits", `{"max_waiting":9}`)
		Expect(must("set", "--operation", "op-1", "/fleet/limits", `{}`)).To(ContainSubstring("revision 1"))
		Expect(must("get", "/fleet/limits")).To(ContainSubstring("9"))
	})

	It("exports and imports, and imports again after a loss", func() {
		must("set", "/fleet/classes/draft", `{"rank":1}`, "/teams/ring/workspaces/desk", `{}`)
		file := filepath.Join(folder, "fleet.json")
		Expect(os.WriteFile(file, []byte(must("export")), 0o600)).To(Succeed())
		must("delete", "/fleet/classes/draft")
		must("set", "/fleet/classes/extra", `{"rank":5}`)
		must("import", "--replace", "/", file)
		out := must("list")
		Expect(out).To(ContainSubstring("/fleet/classes/draft"))
		Expect(out).NotTo(ContainSubstring("extra"))
	})

	It("creates a token whose secret it alone writes down, and revokes it", func() {
		secret := filepath.Join(folder, "ring.token")
		must("token", "create", "ring", "--subtree", "/teams/ring", "--out", secret)
		Expect(must("token", "list")).To(ContainSubstring("/teams/ring"))
		b, err := os.ReadFile(secret)
		Expect(err).NotTo(HaveOccurred())
		code, _ := do("--token", string(b), "set", "/teams/ring/workspaces/desk", `{}`)
		Expect(code).To(Equal(exitOK))
		code, _ = do("--token", string(b), "set", "/fleet/limits", `{}`)
		Expect(code).To(Equal(exitForbidden))
		must("token", "revoke", "ring")
		code, _ = do("--token", string(b), "list")
		Expect(code).To(Equal(exitForbidden))
	})

	It("shows the fleet, a workspace and the control instances", func() {
		must("set", "/teams/ring/workspaces/desk", `{}`, "/fleet/shares/ring/desk", `{"share":2}`)
		Expect(must("status")).To(ContainSubstring("leader c1"))
		Expect(must("status", "ring/desk")).To(ContainSubstring("share"))
		Expect(must("ctrl", "status")).To(ContainSubstring("leader in term"))
		must("ctrl", "snapshot")
		code, _ := do("ctrl", "remove", "c9")
		Expect(code).To(Equal(exitError))
	})
})
