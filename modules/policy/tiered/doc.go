// Package tiered is chivewind's scheduling policy for one shard. Module id: policy.tiered.
//
// # Order
//
// A free slot goes to the first of these that has a request which can run there:
//
//  1. a class within its floor, which is its guaranteed share; of several classes the one whose last
//     grant is the oldest;
//  2. the highest tier; in it the class whose next request has the least slack, which is the time
//     until its latest start that is expected to meet the targets. Requests that were demoted because
//     they can no longer meet their targets come after the others of their tier.
//
// Within a class, workspaces share by weighted start-time fair queueing. A slot that no floor uses at
// the moment serves any request: the policy is work-conserving, so that no request waits while a slot
// that it could use is free.
//
// # How strict tiers and floors combine
//
// The floor of a class is its guaranteed part of the shard: the class's share of all slots, rounded
// down, and in addition one grant per floor window. Each running request above the share makes the
// window longer by one floor window. Other classes cannot claim this part and use it only while the class
// has no request for it. A class is within its floor when its running requests use fewer slots than its
// share, or when its floor window has passed since its last grant; a grant at any other time is beyond
// the floor. Floors take slots only as they become free: no running request is preempted for a floor.
// All capacity beyond the floors is assigned by strict tier priority.
//
// A floor protects as many waiting requests of its class as it has slots, and at least one per class. A
// protected request waits for a slot that other tiers cannot claim. This gives two rules:
//
//   - Tiers. A request is shed early, because of its predicted wait, only if no request of a lower
//     tier waits. At the hard bound of the queue, which only limits memory use, waiting requests that a
//     floor protects are not counted. When a request is shed for any reason, no request of a lower
//     tier was granted, beyond its floor, a slot that this request could have used since it was
//     submitted. A running request is preempted only for a higher tier, and only if no request of a
//     tier below its own waits or was granted beyond its floor since it was submitted.
//     Status.TierViolations counts the decisions that violate this rule; the check uses only the state
//     of the queues and is independent of the code that orders requests.
//   - Floors. A class with waiting requests that can run somewhere has its share of the slots
//     running, or gets one of the next slots that become free, at the latest when its floor
//     window has passed. Neither admission by predicted wait nor the hard bound of the queue sheds
//     requests that a floor protects. The length of a burst of a higher tier has no effect on this.
//
// While requests of a lower tier wait, a request of a higher tier is therefore not shed early. It
// goes first in the order, and if it still cannot start in time, it is refused as expired.
//
// # Endpoints
//
// If some class has a target for the time between tokens, the number of slots per endpoint follows the
// measured time between tokens: it grows by at least one slot per interval, faster during slow start and far
// below the target, and shrinks by a factor. Otherwise each endpoint has its maximum number of slots. The
// endpoint is chosen by its relative load and by the expected time
// to the first token, which depends on the prompts already sent there but not yet processed and on the
// cached prefix blocks. Cached blocks count only while the endpoint's load stays within a bound above the
// mean. Stragglers and crashed endpoints are excluded as package health determines.
//
// # Cost
//
// The waiting requests of a class are queued in lanes: one for each combination of model and adapter,
// with demoted requests apart, and one for each request with constraints of its own, such as endpoints to
// avoid. A flow is the queue of one workspace in a lane. A decision takes time in proportion to the
// number of endpoints and of lanes, and logarithmic time in the number of waiting requests and of
// workspaces with waiting requests. Records of requests, flows and lanes are reused, so that the steady
// state allocates nothing.
package tiered
