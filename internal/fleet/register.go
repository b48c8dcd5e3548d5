package fleet

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/platform"
)

const (
	// leaseTTL is the TTL of the lease on a daemon's key, and leaseRenewInterval the time between renewals. The TTL
	// can be long, because daemons rely on keys only to find others when they reach none of their seeds.
	leaseTTL           = 60 * time.Second
	leaseRenewInterval = 20 * time.Second
	// registerDelay is the time after the start at which a daemon knows enough others to decide whether it must have a
	// key, and registerCheckInterval the time between later checks.
	registerDelay         = 4 * time.Second
	registerCheckInterval = 5 * time.Second
)

// keepRegistered keeps a key of this daemon in the store under a lease while it is a registrant, so that daemons that
// start later can find it. It revokes the lease when ctx is canceled.
func (f *Fleet) keepRegistered(ctx context.Context) {
	var lease platform.LeaseID
	sleepContext(ctx, registerDelay)
	for ctx.Err() == nil {
		pause := registerCheckInterval
		if f.isRegistrant() {
			pause = f.register(ctx, &lease)
		} else {
			// The lease of a former registrant ends by itself.
			lease = platform.LeaseID{}
		}
		sleepContext(ctx, pause)
	}
	if lease != (platform.LeaseID{}) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxRetryDelay)
		defer cancel()
		if err := f.opts.KV.Revoke(ctx, lease); err != nil {
			f.opts.Log.Debug("daemon lease could not be revoked", "error", err)
		}
	}
}

func (f *Fleet) isRegistrant() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.IsRegistrant()
}

// register renews the lease of this daemon's key, or writes the key under a new lease if there is none. It returns the
// time until the next renewal or attempt.
func (f *Fleet) register(ctx context.Context, lease *platform.LeaseID) time.Duration {
	if *lease != (platform.LeaseID{}) {
		if _, err := f.opts.KV.KeepAlive(ctx, *lease); errors.Is(err, platform.ErrLeaseNotFound) {
			*lease = platform.LeaseID{}
		}
	}
	if *lease == (platform.LeaseID{}) {
		var err error
		if *lease, err = f.writeOwnKey(ctx); err != nil {
			f.opts.Log.Debug("daemon key could not be written", "error", err)
			return outageThreshold
		}
	}
	return leaseRenewInterval
}

func (f *Fleet) writeOwnKey(ctx context.Context) (platform.LeaseID, error) {
	value, err := proto.Marshal(f.opts.Self)
	if err != nil {
		return platform.LeaseID{}, err
	}
	lease, err := f.opts.KV.Grant(ctx, max(leaseTTL, f.opts.MinLeaseTTL))
	if err != nil {
		return platform.LeaseID{}, err
	}
	put := platform.Op{Key: f.opts.Codec.DaemonPrefix + f.opts.Self.Daemon, Value: value, Lease: lease}
	if _, err := f.opts.KV.Txn(ctx, platform.Txn{Then: []platform.Op{put}}); err != nil {
		return platform.LeaseID{}, err
	}
	return lease, nil
}
