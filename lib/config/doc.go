// Package config holds the numbered configuration, the patches that change it and the replicas that follow it.
package config
