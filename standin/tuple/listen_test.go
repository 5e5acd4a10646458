package tuple

import (
	"net/netip"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a soak that fails because another of its clusters starts a process: the new process holds the sockets that are
// being replaced until it runs its program.
func TestSocketsAreReplacedWhileProcessesStart(t *testing.T) {
	g := gomega.NewWithT(t)
	end := time.Now().Add(time.Second)
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() {
			for time.Now().Before(end) {
				_ = exec.Command("true").Run() // only the start matters
			}
		})
	}
	defer group.Wait()
	address := netip.MustParseAddrPort("127.91.0.1:8169")
	backend := BackendConfig{Announce: "127.91.0.1:8166", Inlet: netip.MustParseAddrPort("127.91.0.1:8165"), Outlet: address}
	for time.Now().Before(end) {
		proxy, err := NewProxy(address, address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		proxy.Close()
		b, err := NewBackend(backend)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		b.Crash()
	}
}
