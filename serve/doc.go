// Package serve builds a daemon from its settings: it runs listeners, links, decisions and coordination as one group.
package serve
