package seeded

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// SeedVariable and ChecksVariable name the environment variables that override the seed and the number of checks.
const (
	ChecksVariable = "CHECKS"
	SeedVariable   = "SEED"

	defaultSeed = "1"
)

// Main runs a package's tests with a fixed seed for property tests and exits; TestMain must call it.
func Main(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", SeedVariable, defaultSeed)
	setDefault("rapid.checks", ChecksVariable, "")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Seed returns the seed from the environment, or 1 when the variable is unset or not a number.
func Seed() uint64 {
	seed, err := strconv.ParseUint(os.Getenv(SeedVariable), 10, 64)
	if err != nil {
		return 1
	}
	return seed
}

// Check runs a property test. It also makes this package import rapid in non-test code, which registers the rapid flags
// that Main sets, even in test binaries without property tests.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	rapid.Check(t, property)
}

// setDefault sets a flag that isn't given on the command line to the value of an environment variable, or to the fallback
// when the variable is empty.
func setDefault(flagName, variable, fallback string) {
	if value := os.Getenv(variable); value != "" {
		fallback = value
	}
	isSet := false
	flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == flagName })
	if !isSet && fallback != "" {
		_ = flag.Set(flagName, fallback)
	}
}
