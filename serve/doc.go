// Package serve puts one daemon together from its settings: listeners, links, decisions and coordination, run as one group.
package serve
