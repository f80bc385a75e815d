package cleat_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCleat(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cleat")
}
