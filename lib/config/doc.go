// Package config defines the versioned configuration, the patches that change it, and replicas of it.
package config
