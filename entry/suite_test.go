package entry_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/format"
)

func TestEntry(t *testing.T) {
	format.MaxLength = 1000
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}
