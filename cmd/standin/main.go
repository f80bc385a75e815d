// Command standin runs a stand-in upstream: a model engine or a plain service, for
// trials without real upstreams.
package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/fakes"
)

// leaveNotice is how long a stand-in announces that it is leaving before it exits.
const leaveNotice = 3 * fakes.DefaultAnnounceInterval

type options struct {
	id       string
	addr     string
	agentURL string
	engine   fakes.EngineConfig
	models   []string
	plain    fakes.PlainConfig
	pool     string
}

// standin is a running stand-in upstream: a model engine or a plain service.
type standin interface {
	URL() string
	AnnounceLeaving()
	Close()
}

func main() {
	app := kingpin.New("standin", "Runs a stand-in upstream for trials.")
	o := &options{}
	app.Flag("id", "Name of the upstream.").Envar("CLEAT_ID").Required().StringVar(&o.id)
	app.Flag("http", "Address to serve on, as host:port.").Envar("CLEAT_HTTP").Default("127.0.0.1:0").StringVar(&o.addr)
	app.Flag("agent", "Base URL of the agent to announce itself to.").Envar("CLEAT_AGENT").StringVar(&o.agentURL)
	e := app.Command("engine", "A model engine.")
	e.Flag("model", "A model that it serves; repeatable.").Envar("CLEAT_MODEL").Required().StringsVar(&o.models)
	e.Flag("slots", "Announced batch size.").Envar("CLEAT_SLOTS").Default("16").Uint32Var(&o.engine.Slots)
	e.Flag("token-interval", "Time between tokens of one request alone.").Envar("CLEAT_TOKEN_INTERVAL").Default("5ms").DurationVar(&o.engine.TokenInterval)
	e.Flag("batch-interval", "Time added to the token interval for each further running request.").Envar("CLEAT_BATCH_INTERVAL").Default("200us").DurationVar(&o.engine.BatchInterval)
	e.Flag("prefill-interval", "Time for each input token that is not cached.").Envar("CLEAT_PREFILL_INTERVAL").Default("50us").DurationVar(&o.engine.PrefillInterval)
	e.Flag("report-delay", "Delay of load reports and cache events.").Envar("CLEAT_REPORT_DELAY").Default("500ms").DurationVar(&o.engine.ReportDelay)
	e.Flag("cache-loss-every", "Every n-th cache event is lost; 0 loses none.").Envar("CLEAT_CACHE_LOSS_EVERY").Default("0").IntVar(&o.engine.CacheLossEvery)
	e.Flag("fencing", "Refuses orders with old fencing numbers.").Envar("CLEAT_FENCING").BoolVar(&o.engine.Fencing)
	p := app.Command("plain", "A plain service.")
	p.Flag("pool", "The pool that it belongs to.").Envar("CLEAT_POOL").Required().StringVar(&o.pool)
	p.Flag("slots", "Announced slots.").Envar("CLEAT_SLOTS").Default("16").Uint32Var(&o.plain.Slots)
	p.Flag("busy", "Time that each request takes.").Envar("CLEAT_BUSY").Default("5ms").DurationVar(&o.plain.ServiceTime)
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	logger := log.New(os.Stderr)
	s, err := o.startUpstream(command)
	app.FatalIfError(err, "")
	logger.Info("stand-in started", "id", o.id, "url", s.URL(), "agent", o.agentURL)
	app.FatalIfError(serve(s, logger), "")
}

func (o *options) startUpstream(command string) (standin, error) {
	if command == "plain" {
		o.plain.ID, o.plain.Addr, o.plain.AgentURL, o.plain.Pool = cleat.UpstreamID(o.id), o.addr, o.agentURL, cleat.ModelID(o.pool)
		s, err := fakes.StartPlain(o.plain)
		return s, trace.Wrap(err)
	}
	o.engine.ID, o.engine.Addr, o.engine.AgentURL = cleat.UpstreamID(o.id), o.addr, o.agentURL
	for _, m := range o.models {
		o.engine.Models = append(o.engine.Models, cleat.ModelID(m))
	}
	s, err := fakes.StartEngine(o.engine)
	return s, trace.Wrap(err)
}

// serve runs the stand-in until SIGTERM or SIGINT, then announces for
// leaveNotice that it is leaving; a second signal ends it at once.
func serve(s standin, logger *log.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	var g run.Group
	g.Add(func() error {
		select {
		case <-signals:
		case <-stop:
			return nil
		}
		logger.Info("leaving")
		s.AnnounceLeaving()
		select {
		case <-signals:
		case <-time.After(leaveNotice):
		}
		return nil
	}, func(error) {
		close(stop)
		s.Close()
	})
	return trace.Wrap(g.Run())
}
