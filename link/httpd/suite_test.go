package httpd_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHTTPD(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpd")
}
