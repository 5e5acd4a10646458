// Package snap keeps snapshots of agents' open flows in the platform's store, where they survive a loss of power.
package snap
