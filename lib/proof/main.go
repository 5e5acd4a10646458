package proof

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// SeedVariable and ChecksVariable are the environment variables that change the fixed seed and the number of checks.
const (
	ChecksVariable = "CHECKS"
	SeedVariable   = "SEED"

	defaultSeed = "1"
)

// Main runs a package's tests with a fixed seed; it is called from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", SeedVariable, defaultSeed)
	setDefault("rapid.checks", ChecksVariable, "")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Seed returns the seed of the environment, or the fixed one.
func Seed() uint64 {
	seed, err := strconv.ParseUint(os.Getenv(SeedVariable), 10, 64)
	if err != nil {
		return 1
	}
	return seed
}

// Check runs a property; it keeps the flags of the property library registered in every test that uses this package.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	rapid.Check(t, property)
}

func setDefault(name, variable, fallback string) {
	if value := os.Getenv(variable); value != "" {
		fallback = value
	}
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given && fallback != "" {
		_ = flag.Set(name, fallback)
	}
}
