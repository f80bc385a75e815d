package ledger_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat/stand/assert"
)

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	restore := assert.SetHook(func(name, msg string) { panic(name + ": " + msg) })
	defer restore()
	RunSpecs(t, "ledger")
}
