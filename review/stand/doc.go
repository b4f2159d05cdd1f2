// Command stand plays the platform, the targets and the callers of a small deployment for the scripts of the review. It starts the
// daemons as processes of their own, by the command of the deploy file, and writes down what was sent, answered and run.
package main
