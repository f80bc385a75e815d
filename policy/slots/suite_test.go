package slots_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSlots(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "slots")
}
