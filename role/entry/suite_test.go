package entry_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/format"

	"marigoldcleat.example/cleat/stand/assert"
)

func TestEntry(t *testing.T) {
	format.MaxLength = 1000
	defer assert.SetHook(func(name, msg string) { panic(name + ": " + msg) })()
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}
