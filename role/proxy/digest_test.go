package proxy

import (
	"net/http"
	"strings"
	"testing"

	"marigoldcleat.example/cleat"
)

func digestedExchange(method, path, body string, key string, blocks ...uint64) *exchange {
	r, err := http.NewRequest(method, "http://shop.example"+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.RequestURI = path
	x := &exchange{r: r, table: &cleat.RouteTable{}, body: []byte(body)}
	x.info.WorkspaceKey = key
	if len(blocks) > 0 {
		x.info.Prompt = &cleat.Prompt{}
		for _, id := range blocks {
			x.info.Prompt.Blocks = append(x.info.Prompt.Blocks, cleat.PrefixBlock{ID: id})
		}
	}
	return x
}

func TestEqualRequestsShareADigest(t *testing.T) {
	base := func() *exchange { return digestedExchange("POST", "/a?q=1", "body", "key", 1, 2) }
	again := base()
	again.info.ID = "another attempt"
	if base().requestDigest() != again.requestDigest() {
		t.Error("equal requests have different digests")
	}
	for name, x := range map[string]*exchange{
		"method": digestedExchange("PUT", "/a?q=1", "body", "key", 1, 2),
		"path":   digestedExchange("POST", "/b?q=1", "body", "key", 1, 2),
		"query":  digestedExchange("POST", "/a?q=2", "body", "key", 1, 2),
		"body":   digestedExchange("POST", "/a?q=1", "other", "key", 1, 2),
		"caller": digestedExchange("POST", "/a?q=1", "body", "key2", 1, 2),
		"prompt": digestedExchange("POST", "/a?q=1", "body", "key", 1, 3),
		"fields": digestedExchange("POST", "/a?q=1body", "", "key", 1, 2),
	} {
		if x.requestDigest() == base().requestDigest() {
			t.Errorf("requests that differ in their %s share a digest", name)
		}
	}
}

// A stream without a prompt that broke off late counted as a crash under its request.
func TestStreamWithoutPromptBegins(t *testing.T) {
	x := digestedExchange("POST", "/a", "", "key")
	x.role = &Role{clock: cleat.SystemClock{}}
	if x.recordBegun(); !x.begun {
		t.Error("a stream without a prompt doesn't count as begun")
	}
}

func BenchmarkRequestDigest(b *testing.B) {
	for name, size := range map[string]int{"200 bytes": 200, "64 KiB": 64 << 10, "4 MiB": 4 << 20} {
		b.Run(name, func(b *testing.B) {
			x := digestedExchange("POST", "/a/b/c?q=1", strings.Repeat("x", size), "key", 1, 2, 3)
			b.ReportAllocs()
			for b.Loop() {
				x.digest = 0
				x.requestDigest()
			}
		})
	}
}
