package zones

import (
	"testing"

	"github.com/cyclamendock/cyclamendock/lib/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }
