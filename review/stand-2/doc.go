// Command stand-2 plays the cases of the second review: it starts daemons as processes of their own, on loopback addresses, and stands in
// for the platform's store and balancer, the runners and the clients.
package main
