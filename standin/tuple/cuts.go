package tuple

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"
)

// Cut drops all messages between an agent and all other processes that run now, in both directions, and the agent's calls to the store.
func (c *Cluster) Cut(agent int) error {
	self := c.host(2, agent)
	for _, other := range c.hosts() {
		if other == self {
			continue
		}
		for _, name := range []string{cutName(self, other), cutName(other, self)} {
			if err := os.WriteFile(filepath.Join(c.cutsFolder(), name), nil, 0o600); err != nil {
				return err
			}
		}
	}
	c.proxies[fmt.Sprintf("agent-%d", agent)].SetFault(FaultDropAll)
	return nil
}

// Heal ends all cuts.
func (c *Cluster) Heal() error {
	if err := os.RemoveAll(c.cutsFolder()); err != nil {
		return err
	}
	for _, proxy := range c.proxies {
		proxy.SetFault(FaultNone)
	}
	return os.Mkdir(c.cutsFolder(), 0o700)
}

// AddBalancer starts one more balancer and puts it into rotation once it is ready.
func (c *Cluster) AddBalancer() error {
	i := c.config.Balancers
	if err := c.startBalancer(i); err != nil {
		return err
	}
	c.config.Balancers++
	return c.awaitBalancer(i)
}

// RestartBalancer takes a balancer out of rotation, kills it and starts it again.
func (c *Cluster) RestartBalancer(i int) error {
	name := fmt.Sprintf("balancer-%d", i)
	c.Routers.Remove(c.Balancer(i))
	c.processes[name].Kill(exitTimeout)
	if err := c.Restart(name); err != nil {
		return err
	}
	return c.awaitBalancer(i)
}

// awaitBalancer waits until a balancer is ready and puts it into rotation.
func (c *Cluster) awaitBalancer(i int) error {
	if !waitFor(time.Now().Add(exitTimeout), func() bool { return c.balancerReady(i) }) {
		return fmt.Errorf("balancer-%d is not ready; see its log in %s", i, c.config.WorkDir)
	}
	c.Routers.Add(c.Balancer(i))
	return nil
}

// environment returns the environment of a process with the given settings file.
func (c *Cluster) environment(settingsPath string) []string {
	variables := []string{"CYCLAMENDOCK_SETTINGS=" + settingsPath}
	if c.config.Cuts {
		variables = append(variables, "CYCLAMENDOCK_CUTS="+c.cutsFolder())
	}
	return variables
}

// cutsFolder returns the path of the folder that names the directions in which messages are dropped; see the platform program.
func (c *Cluster) cutsFolder() string { return filepath.Join(c.config.WorkDir, "cuts") }

// cutName returns the name of the file that cuts one direction.
func cutName(from, to netip.Addr) string { return from.String() + "-" + to.String() }

// hosts returns the addresses of all balancers and agents.
func (c *Cluster) hosts() []netip.Addr {
	var hosts []netip.Addr
	for i := range c.config.Balancers {
		hosts = append(hosts, c.host(1, i))
	}
	for i := range c.config.Agents {
		hosts = append(hosts, c.host(2, i))
	}
	return hosts
}
