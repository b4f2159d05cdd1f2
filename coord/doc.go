// Package coord makes the daemons act together: membership, spread of configuration, claims on keys, leases and stop plans.
//
// The decisions take events and the time as arguments. What has to be agreed or
// kept goes through the platform's table service and object store.
package coord
