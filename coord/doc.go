// Package coord coordinates the daemons: membership, distribution of the configuration, claims on idempotency keys,
// leases and planned stops.
//
// The decision logic takes events and the current time as arguments. State that needs agreement or durability is kept
// in the platform's table service and object store.
package coord
