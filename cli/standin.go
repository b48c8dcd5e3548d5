package cli

import (
	"fmt"
	"net/url"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/standin/engine"
	"github.com/chivewind/chivewind/internal/standin/kv"
	"github.com/chivewind/chivewind/internal/standin/plain"
	"github.com/chivewind/chivewind/internal/standin/vmlist"
	"github.com/chivewind/chivewind/platform"
)

// standinOptions are the flags of the standin commands. Each command uses only some of them.
type standinOptions struct {
	address   string
	kvAddress string
	vmAddress string
	model     string
	// slots is the maximum batch size of an engine, prefill the time to its first token.
	slots     int
	tokenTime time.Duration
	prefill   time.Duration
	// delay is the time that a plain service takes per request.
	delay time.Duration
	// file is the configuration file.
	file string
}

// addStandin adds the commands that run stand-ins of the platform's services and of endpoints, for trials and
// tests.
func (a *app) addStandin(k *kingpin.Application) {
	cmd := k.Command("standin", "Run a stand-in of an outside service, for trying chivewind out.")
	var o standinOptions
	command := func(name, help string, run func(standinOptions) error) *kingpin.CmdClause {
		c := cmd.Command(name, help)
		c.Action(func(*kingpin.ParseContext) error { return run(o) })
		return c
	}
	listen := func(c *kingpin.CmdClause, address string) {
		c.Flag("listen", "Address to bind, IP:port.").Default(address).StringVar(&o.address)
	}
	timing := func(c *kingpin.CmdClause) {
		c.Flag("token-time", "Time per token.").Default("5ms").DurationVar(&o.tokenTime)
		c.Flag("prefill", "Time to the first token.").Default("20ms").DurationVar(&o.prefill)
	}
	listen(command("kv", "Key-value service with the etcd v3 JSON API.", a.standinKV), "127.0.0.1:7300")
	listen(command("vmlist", "List of live and leaving VMs.", a.standinVMList), "127.0.0.1:7301")
	e := command("engine", "Model engine with the OpenAI-compatible API.", a.standinEngine)
	listen(e, "127.0.0.1:8300")
	timing(e)
	e.Flag("model", "Name of the model.").Default("standin").StringVar(&o.model)
	e.Flag("slots", "Size of the batch.").Default("32").IntVar(&o.slots)
	p := command("plain", "Plain HTTP service.", a.standinPlain)
	listen(p, "127.0.0.1:8350")
	p.Flag("delay", "Time that a request takes.").Default("5ms").DurationVar(&o.delay)
	all := command("all", "The platform and every endpoint of a configuration, in one process.", a.standinAll)
	all.Flag("config", "Configuration file.").Short('c').Required().ExistingFileVar(&o.file)
	all.Flag("kv", "Address of the key-value service.").Default("127.0.0.1:7300").StringVar(&o.kvAddress)
	all.Flag("vm-list", "Address of the VM list.").Default("127.0.0.1:7301").StringVar(&o.vmAddress)
	timing(all)
}

// serveUntilSignal prints the address of a stand-in and waits for a signal.
func (a *app) serveUntilSignal(name, address string) error {
	fmt.Fprintf(a.stdout, "%s listens on %s\n", name, address)
	<-a.ctx.Done()
	return nil
}

func (a *app) standinKV(o standinOptions) error {
	server, address, err := kv.NewServer(kv.NewStore()).Listen(o.address)
	if err != nil {
		return err
	}
	defer server.Close()
	return a.serveUntilSignal("key-value service", address)
}

func (a *app) standinVMList(o standinOptions) error {
	server, address, err := vmlist.New().Listen(o.address)
	if err != nil {
		return err
	}
	defer server.Close()
	return a.serveUntilSignal("VM list", address)
}

func (a *app) standinEngine(o standinOptions) error {
	e, err := engine.Start(engine.Options{Address: o.address, Model: o.model, Slots: o.slots, Prefill: o.prefill, TokenTime: o.tokenTime})
	if err != nil {
		return err
	}
	defer e.Close()
	return a.serveUntilSignal("engine", e.URL())
}

func (a *app) standinPlain(o standinOptions) error {
	s, err := plain.Start(plain.Options{Address: o.address, Name: o.address, Delay: o.delay})
	if err != nil {
		return err
	}
	defer s.Close()
	return a.serveUntilSignal("plain service", s.URL())
}

// standinAll starts stand-ins of the platform's services and of each endpoint of a configuration, at the
// endpoint's address.
func (a *app) standinAll(o standinOptions) error {
	c, err := config.ReadFile(o.file)
	if err != nil {
		return err
	}
	kvServer, _, err := kv.NewServer(kv.NewStore()).Listen(o.kvAddress)
	if err != nil {
		return err
	}
	defer kvServer.Close()
	vms := vmlist.New()
	vmServer, _, err := vms.Listen(o.vmAddress)
	if err != nil {
		return err
	}
	defer vmServer.Close()
	for _, e := range c.Endpoints {
		stop, err := startEndpoint(c, e, o)
		if err != nil {
			return fmt.Errorf("start the stand-in of endpoint %s: %w", e.ID, err)
		}
		defer stop()
		if e.VM != "" {
			vms.Put(platform.VM{ID: e.VM, Zone: e.Zone, Role: "endpoint", State: platform.VMLive})
		}
	}
	return a.serveUntilSignal(fmt.Sprintf("key-value service, VM list and %d endpoints", len(c.Endpoints)), o.kvAddress)
}

// startEndpoint starts the stand-in of one endpoint and returns a function that stops it.
func startEndpoint(c *config.Config, e config.Endpoint, o standinOptions) (func(), error) {
	u, err := url.Parse(e.URL)
	if err != nil {
		return nil, err
	}
	for _, p := range c.Pools {
		if p.Name != e.Pool || p.Kind != config.KindEngine {
			continue
		}
		s, err := engine.Start(engine.Options{Address: u.Host, Model: p.Model, Slots: e.MaxSlots, Prefill: o.prefill, TokenTime: o.tokenTime})
		if err != nil {
			return nil, err
		}
		return s.Close, nil
	}
	s, err := plain.Start(plain.Options{Address: u.Host, Name: e.ID, Delay: 5 * time.Millisecond})
	if err != nil {
		return nil, err
	}
	return s.Close, nil
}
