// Command standin is not implemented yet.
package main

import (
	_ "github.com/alecthomas/kingpin/v2"
	_ "github.com/charmbracelet/log"
	_ "github.com/gravitational/trace"
	_ "github.com/oklog/run"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"

	_ "marigoldcleat.example/cleat"
)

func main() {}
