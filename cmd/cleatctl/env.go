package main

import (
	crand "crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat/role/admin"
)

const secretBytes = 32

// env holds the output, the common flags and the client that the commands use.
type env struct {
	out       io.Writer
	servers   []string
	token     string
	tokenFile string
	json      bool
	client    *admin.Client
}

func (e *env) registerFlags(app *kingpin.Application) {
	app.Flag("server", "HTTP address of a control instance, as host:port or URL; repeatable.").Envar("CLEAT_SERVER").Default("127.0.0.1:7080").StringsVar(&e.servers)
	app.Flag("token", "Secret of the token.").Envar("CLEAT_TOKEN").StringVar(&e.token)
	app.Flag("token-file", "File with the secret of the token.").Envar("CLEAT_TOKEN_FILE").StringVar(&e.tokenFile)
	app.Flag("json", "Print JSON in place of tables.").BoolVar(&e.json)
}

// createClient creates the client for all servers. It reads the token file if no
// token is given directly.
func (e *env) createClient() error {
	if e.token == "" && e.tokenFile != "" {
		b, err := os.ReadFile(e.tokenFile)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		e.token = strings.TrimSpace(string(b))
	}
	urls := make([]string, 0, len(e.servers))
	for _, s := range e.servers {
		urls = append(urls, baseURL(s))
	}
	e.client = admin.NewClient(urls, e.token)
	return nil
}

func baseURL(server string) string {
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	return strings.TrimSuffix(server, "/")
}

// singleServerClient returns a client that sends requests to the i-th server only.
func (e *env) singleServerClient(i int) *admin.Client {
	return admin.NewClient([]string{baseURL(e.servers[i])}, e.token)
}

// printJSON writes v as indented JSON.
func (e *env) printJSON(v any) error {
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	return trace.Wrap(enc.Encode(v))
}

// printTable writes a heading and tab-separated rows in aligned columns.
func (e *env) printTable(heading string, rows []string) error {
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, heading)
	for _, row := range rows {
		fmt.Fprintln(w, row)
	}
	return trace.Wrap(w.Flush())
}

// row formats the cells of one table row, separated by tabs.
func row(cells ...any) string {
	texts := make([]string, 0, len(cells))
	for _, c := range cells {
		texts = append(texts, fmt.Sprint(c))
	}
	return strings.Join(texts, "\t")
}

// randomHex returns n random bytes in hex, for secrets and operation ids.
func randomHex(n int) string {
	b := make([]byte, n)
	_, _ = crand.Read(b) // crypto/rand.Read never returns an error.
	return hex.EncodeToString(b)
}
