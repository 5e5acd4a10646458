package member

import (
	"testing"

	"github.com/cyclamendock/cyclamendock/lib/proof"
)

func TestMain(m *testing.M) { proof.Main(m) }
