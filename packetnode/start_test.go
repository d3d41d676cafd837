package packetnode_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packetnode"
	"endiveflow.example/endiveflow/packettest"
	"endiveflow.example/endiveflow/platform"
)

const settingsTemplate = `nodeName = "entry"
ip = "%[1]s"
zone = "a"
internalPortRange = [%[2]d,%[3]d]
[listenAddrs]
datagramAddr = "%[1]s:21300"
readinessAddr = "%[1]s:21301"
control = "%[1]s:21302"
[bounds]
graceS = 3
[platform]
address = "%[4]s"
`

// peerPort is the first port for traffic between processes; each run uses random loopback addresses.
const peerPort = 21310

func settings(t *testing.T, ip netip.Addr, store string) platform.Settings {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.toml")
	require.NoError(t, os.WriteFile(path, fmt.Appendf(nil, settingsTemplate, ip, peerPort, peerPort+9, store), 0o600))
	s, err := platform.LoadSettings(path)
	require.NoError(t, err)
	return s
}

// Guards against an entry that waits for the store at its start. The reports and the configuration of agents
// have to suffice.
func TestFirstPacketWithoutStore(t *testing.T) {
	network := [2]byte{byte(16 + rand.IntN(200)), byte(rand.IntN(256))}
	entryIP := netip.AddrFrom4([4]byte{127, network[0], network[1], 1})
	agentIP := netip.AddrFrom4([4]byte{127, network[0], network[1], 2})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()

	// The agent serves its configuration and receives what entries send.
	routes := `{"version":5,"routes":[{"name":"r","host":"198.18.0.1","pathPrefix":"/8443/","service":"rota"}],"limits":{}}`
	peer, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", netip.AddrPortFrom(agentIP, peerPort).String())
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	stopServing := serveConfig(t, netip.AddrPortFrom(agentIP, peerPort), routes)
	defer stopServing()

	// Nothing listens at the store's address.
	entry := packetnode.NewEntry(settings(t, entryIP, "127.0.0.1:1"), eventlog.New(eventlog.Config{Out: io.Discard}))
	start := time.Now()
	done := entry.Run(ctx)

	stop := make(chan struct{})
	go sendUntil(stop, peer, netip.AddrPortFrom(entryIP, peerPort), netip.AddrPortFrom(entryIP, 21300), agentIP)
	defer close(stop)
	require.NoError(t, peer.SetReadDeadline(start.Add(5*time.Second)))
	buffer := make([]byte, 2000)
	for {
		n, _, err := peer.ReadFrom(buffer)
		require.NoError(t, err, "no opening packet came through the entry")
		var m mesh.Message
		if m.Decode(buffer[:n]) == nil && m.Kind == mesh.KindOffer {
			break
		}
	}
	t.Logf("first packet forwarded after %s", time.Since(start))
	cancel()
	require.NoError(t, <-done)
}

// sendUntil sends agent reports and opening packets of callers until stop is closed.
func sendUntil(stop <-chan struct{}, conn net.PacketConn, peers, callers netip.AddrPort, agentIP netip.Addr) {
	ip := flow.EndpointOf(netip.AddrPortFrom(agentIP, 0)).IP
	for n := uint64(1); ; n++ {
		body, err := mesh.EncodeReport(mesh.AgentReport{IP: ip, Incarnation: 1, Version: n, Service: "rota", HostState: host.Ready, HostWarm: true})
		if err != nil {
			return
		}
		m := mesh.Message{Kind: mesh.KindAgentReport, Origin: ip, ConfigVersion: 5, Body: body, Load: mesh.Load{Slots: 4, Open: true}}
		_, _ = conn.WriteTo(m.Append(nil), net.UDPAddrFromAddrPort(peers))
		_, _ = conn.WriteTo(packettest.Open(packettest.Key(int(n)), 0), net.UDPAddrFromAddrPort(callers))
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
	}
}
