package node

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"

	"github.com/samber/oops"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/internal/certs"
	"github.com/chivewind/chivewind/internal/configstore"
	"github.com/chivewind/chivewind/internal/dispatch"
	"github.com/chivewind/chivewind/internal/ledger"
	"github.com/chivewind/chivewind/internal/membership"
	"github.com/chivewind/chivewind/internal/peerconn"
	"github.com/chivewind/chivewind/internal/replica"
	"github.com/chivewind/chivewind/internal/scheduler"
	"github.com/chivewind/chivewind/internal/vmwatch"
	"github.com/chivewind/chivewind/modules/admin"
	"github.com/chivewind/chivewind/modules/front"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform"
	"github.com/chivewind/chivewind/policy"
	"github.com/chivewind/chivewind/settings"
)

// minClusterKeyBytes is the minimum length of the key that the daemons of a cluster share.
const minClusterKeyBytes = 16

func (n *Node) buildTLS() error {
	t := n.settings.TLS
	if t.CertFile != "" {
		pair, err := certs.NewKeyPair(t.CertFile, t.KeyFile)
		if err != nil {
			return err
		}
		n.serverTLS = certs.ServerConfig(pair)
	}
	if t.PeerCertFile != "" {
		pair, err := certs.NewKeyPair(t.PeerCertFile, t.PeerKeyFile)
		if err != nil {
			return err
		}
		n.peerTLS, err = certs.MutualConfig(pair, t.PeerCAFile)
		if err != nil {
			return err
		}
	}
	return nil
}

// loadModule creates the module that the settings name and requires it to implement T.
func loadModule[T any](n *Node, m *settings.Module) (T, error) {
	var zero T
	loaded, err := chivewind.Load(n.moduleContext(m.Use), m.Use, &m.With)
	if err != nil {
		return zero, err
	}
	t, ok := loaded.(T)
	if !ok {
		return zero, oops.With("module", m.Use).Errorf("module %s does not implement %T", m.Use, &zero)
	}
	return t, nil
}

func (n *Node) buildModules() (err error) {
	if n.kv, err = loadModule[platform.KV](n, &n.settings.KV); err != nil {
		return err
	}
	if n.vmList, err = loadModule[platform.VMList](n, &n.settings.VMList); err != nil {
		return err
	}
	// Each shard creates its own policy; this instance only validates the settings.
	if _, err = loadModule[policy.Policy](n, &n.settings.Policy); err != nil {
		return err
	}
	n.endpointKinds = map[config.PoolKind]endpoint.Kind{}
	for _, kind := range []config.PoolKind{config.KindEngine, config.KindPlain} {
		n.endpointKinds[kind], err = loadModule[endpoint.Kind](n, &settings.Module{Use: "endpoint." + string(kind)})
		if err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) newPolicy() policy.Policy {
	p, err := loadModule[policy.Policy](n, &n.settings.Policy)
	if err != nil {
		// The same settings were loaded at start, so a failure here is a programming error.
		panic(err)
	}
	return p
}

func (n *Node) buildCluster() error {
	s := n.settings
	key, err := n.clusterKey()
	if err != nil {
		return err
	}
	n.pool = peerconn.NewPool(peerconn.Config{TLS: n.peerTLS, Metrics: n.metrics})
	n.members, err = membership.New(membership.Config{
		Self: &peer.Member{
			Id: s.ID, State: peer.MemberState_MEMBER_STATE_ALIVE, Zone: s.Zone, Region: s.Region,
			GossipAddress: s.Listen.PeerAdvertise, PeerAddress: s.Listen.PeerAdvertise, EntryUrl: s.Listen.CallersURL,
		},
		Listen: s.Listen.Peer, ClusterKey: key, Join: s.Join, VMAddresses: n.vmAddresses,
		Peers: n.pool, Log: n.log.Named("membership"), Metrics: n.metrics,
	})
	if err != nil {
		return err
	}
	n.documents = replica.New(replica.Config{Members: n.members, Peers: n.pool, Log: n.log.Named("replica"), Metrics: n.metrics})
	return nil
}

func (n *Node) clusterKey() ([]byte, error) {
	if n.settings.ClusterKeyFile == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(n.settings.ClusterKeyFile)
	if err != nil {
		return nil, err
	}
	key := bytes.TrimSpace(raw)
	if len(key) < minClusterKeyBytes {
		return nil, oops.With("file", n.settings.ClusterKeyFile).Errorf("the cluster key has %d bytes; at least %d are needed", len(key), minClusterKeyBytes)
	}
	return key, nil
}

// vmAddresses returns the peer addresses of the daemons on live VMs, for joining the cluster. It assumes that
// all daemons use this daemon's peer port, because the VM list has only the VMs' IP addresses.
func (n *Node) vmAddresses(ctx context.Context) ([]string, error) {
	_, port, err := net.SplitHostPort(n.settings.Listen.PeerAdvertise)
	if err != nil {
		return nil, err
	}
	vms, err := n.vmList.List(ctx)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, vm := range vms.VMs {
		if vm.Role == vmwatch.RoleDaemon && vm.State == platform.VMLive {
			addresses = append(addresses, net.JoinHostPort(vm.Address, port))
		}
	}
	return addresses, nil
}

func (n *Node) buildConfiguration() error {
	n.store = configstore.New(configstore.Options{
		KV: n.kv, Members: n.members, Documents: n.documents, Validate: config.Validate,
		Log: n.log.Named("config"), Metrics: n.metrics,
	})
	n.ledger = ledger.New(ledger.Options{
		KV: n.kv, Members: n.members, Peers: n.pool, Retention: n.settings.Limits.LedgerRetention.D(),
		Log: n.log.Named("ledger"), Metrics: n.metrics,
	})
	n.vmWatcher = vmwatch.New(vmwatch.Options{
		List: n.vmList, Members: n.members, Documents: n.documents, Log: n.log.Named("vms"), Metrics: n.metrics,
	})
	return nil
}

func (n *Node) buildRequestPath() error {
	n.scheduler = scheduler.New(scheduler.Config{
		Members: n.members, NewPolicy: n.newPolicy, Poll: newLoadPoller(n.endpointKinds).poll,
		Log: n.log.Named("scheduler"), Metrics: n.metrics,
	})
	n.client = scheduler.NewClient(scheduler.ClientConfig{
		Members: n.members, Peers: n.pool, Local: n.scheduler, Log: n.log.Named("scheduler"), Metrics: n.metrics,
	})
	n.members.SetShardLoads(n.scheduler.ShardLoads, n.client.RecordLoads)
	n.store.Subscribe(n.applySnapshot)
	n.vmWatcher.Subscribe(n.updateDraining)
	n.dispatcher = dispatch.New(dispatch.Options{
		Scheduler: n.client, Ledger: n.ledger, Announcer: n.members, Snapshot: n.store.Snapshot,
		EndpointKinds: n.endpointKinds, Members: n.members, MemberID: n.settings.ID, Incarnation: n.members.Self().Incarnation,
		Zone: n.settings.Zone, InterTokenTimeout: n.settings.Limits.InterTokenTimeout.D(),
		Log: n.log.Named("dispatch"), Metrics: n.metrics,
	})
	n.front = front.New(front.Options{
		Dispatcher: n.dispatcher, Snapshot: n.store.Snapshot, Members: n.members,
		SelfURL: n.settings.Listen.CallersURL, Zone: n.settings.Zone, Limits: n.settings.Limits, Log: n.log.Named("front"),
	})
	n.callerServer = n.front.Server()
	n.admin = admin.New(admin.Options{
		Store: n.store, Members: n.members, Peers: n.pool, Status: n.Status, Settler: n, AllowAnonymous: n.settings.Insecure,
		Log: n.log.Named("admin"), Metrics: n.metrics,
	})
	n.adminServer = &http.Server{Handler: n.admin.Handler(), ReadHeaderTimeout: n.settings.Limits.HeaderTimeout.D()}
	return nil
}

// applySnapshot passes a new configuration to the components that do not read it for each request.
func (n *Node) applySnapshot(s *config.Snapshot) {
	n.configureMu.Lock()
	defer n.configureMu.Unlock()
	n.scheduler.SetSnapshot(s)
	n.client.SetSnapshot(s)
	n.updateDrainingLocked()
}

// updateDraining tells the scheduler the endpoints whose VM is leaving or gone, so that they receive no new
// requests.
func (n *Node) updateDraining() {
	n.configureMu.Lock()
	defer n.configureMu.Unlock()
	n.updateDrainingLocked()
}

// updateDrainingLocked is updateDraining with configureMu held.
func (n *Node) updateDrainingLocked() {
	if s := n.store.Snapshot(); s != nil {
		n.scheduler.SetDraining(n.vmWatcher.LeavingEndpoints(s))
	}
}

func (n *Node) buildPeerServer() (err error) {
	n.peerServer, err = peerconn.NewServer(peerconn.ServerConfig{
		Address: n.settings.Listen.Peer, TLS: n.peerTLS, Log: n.log.Named("peers"), Metrics: n.metrics,
		Service: &peerconn.ServiceFuncs{
			OnSchedule: n.scheduler.Schedule,
			OnSync:     n.documents.Sync,
			OnLedger:   n.ledger.Serve,
			OnAnnounce: n.announce,
			OnStatus:   func(context.Context, *peer.StatusRequest) (*peer.StatusReply, error) { return n.Status(), nil },
		},
	})
	return err
}

// announce handles an event that another daemon announces to all members.
func (n *Node) announce(_ context.Context, req *peer.AnnounceRequest) (*peer.AnnounceReply, error) {
	n.members.HandleAnnounce(req)
	n.dispatcher.HandleSuspects(req.Suspects)
	return &peer.AnnounceReply{}, nil
}
