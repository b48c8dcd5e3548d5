// Package tiered is chivewind's scheduling policy for one shard. Module id: policy.tiered.
//
// # Order
//
// A free slot goes to the first of these that has a request which can run there:
//
//  1. a class within its floor; of several the one whose last grant is longest ago;
//  2. the highest tier; in it the class whose next request has the least slack, which is the time
//     to its latest start that is expected to meet the targets; requests demoted because they are
//     late come after the feasible ones of their tier.
//
// Within a class, workspaces share by start-time fair queueing with weights. A slot that a floor
// does not use at the moment serves any request, so that no request waits while a slot that it
// could use is free.
//
// # How strict tiers and floors hold together
//
// The floor of a class is a part of the shard that is not capacity of any other class: the slots
// of its share of all slots rounded down, and beyond these one grant per floor window, the window
// being longer by one more window for each running request above the share. Floors take slots
// only as they become free: no running request is preempted for a floor. All capacity beyond the
// floors is given by strict tiers.
//
// A request waits within its class's floor if the class has no more waiting requests than its
// floor has slots, and at least one is always counted. It waits for a slot that other tiers have
// no claim to. From this follow the two rules:
//
//   - Tiers. A request is shed early, because of its predicted wait, only if no request of a lower
//     tier waits. At the hard bound of the queue, which only protects the memory, those that wait
//     within their floor do not count. When a request is shed for any reason, no request of a lower
//     tier was granted, beyond its floor, a slot that this request could have had since it was
//     submitted. A running request is preempted only for a higher tier, and only if no request of a
//     tier below its own waits or was granted beyond its floor since it was submitted.
//     Status.TierViolations counts the decisions that break this rule; they are checked from the
//     queues, apart from the code that orders requests.
//   - Floors. A class with waiting requests that can run somewhere has its share of the slots
//     running, or gets one of the next slots that become free, at the latest when its floor
//     window has passed. Admission by predicted wait and the hard bound of the queue never take
//     the requests that wait within the floor. A longer burst of a higher tier changes nothing.
//
// While requests of a lower tier wait, a request of a higher tier is therefore not shed early. It
// goes first in the order, and if it cannot start in time nevertheless, it is refused as expired.
//
// # Endpoints
//
// Slots per endpoint follow the measured time between tokens by additive increase and
// multiplicative decrease. The endpoint is chosen by the expected time to the first token, which
// follows from the prompts sent there and not yet processed and from the cached blocks, and by the
// relative load. Cached blocks count while the load stays within a bound above the mean. Stragglers
// and crashed endpoints are left out as package health says.
//
// # Cost
//
// A decision takes time in proportion to the number of endpoints, and logarithmic time in the
// number of waiting requests and of workspaces with waiting requests. Records of requests, flows
// and lanes are reused, so that the steady state allocates nothing.
package tiered
