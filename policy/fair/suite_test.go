package fair_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFair(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fair")
}
