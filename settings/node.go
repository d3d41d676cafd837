package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/fleetkey"
)

// FleetKey is one key of the fleet in a settings file. Exactly one of Secret and SecretFile must be set.
type FleetKey struct {
	// ID is 0 to 255. The first key in the list is the active one.
	ID uint8 `yaml:"id"`
	// Secret is the base64 encoding of at least 32 bytes.
	Secret string `yaml:"secret,omitempty"`
	// SecretFile is the name of a file that holds the encoded secret, relative to the settings file.
	SecretFile string `yaml:"secretFile,omitempty"`

	// raw is the decoded secret, set by the Load functions and NewFleetKey; empty otherwise.
	raw []byte
}

// Node holds the settings that entries and agents share.
type Node struct {
	// Zone is the availability zone of the process.
	Zone string `yaml:"zone"`
	// Region is the region of the zone.
	Region string `yaml:"region"`
	// TunnelAddress is where the process receives encapsulated packets.
	TunnelAddress netip.AddrPort `yaml:"tunnelAddress"`
	// ControlAddress is where it receives control messages.
	ControlAddress netip.AddrPort `yaml:"controlAddress"`
	// PeerAddress is where it serves HTTP/3 to other processes.
	PeerAddress netip.AddrPort `yaml:"peerAddress"`
	// AdminAddress is where it serves HTTP to operators and, on agents, to the upstream.
	AdminAddress netip.AddrPort `yaml:"adminAddress"`
	// FleetKeys are the accepted keys, the active one first.
	FleetKeys []FleetKey `yaml:"fleetKeys"`
	// PlatformURL is the base URL of the object API; empty on agents that have none.
	PlatformURL string `yaml:"platformURL,omitempty"`
	// Seeds are the control addresses of entries to contact while the store is unavailable.
	Seeds []netip.AddrPort `yaml:"seeds,omitempty"`
	// LogLevel is the lowest level that is logged; default info.
	LogLevel slog.Level `yaml:"logLevel,omitempty"`
	// ShutdownGrace bounds the duration of a planned stop; default DefaultShutdownGrace.
	ShutdownGrace time.Duration `yaml:"shutdownGrace,omitempty"`
}

// Defaults of optional settings.
const (
	// DefaultShutdownGrace bounds the duration of a planned stop.
	DefaultShutdownGrace = 30 * time.Second
	// DefaultSlots, DefaultShortWork and DefaultLongWork apply to the stand-in upstream.
	DefaultSlots     = 4
	DefaultShortWork = 5 * time.Millisecond
	DefaultLongWork  = 2 * time.Second
)

// Ring returns the key ring of the settings.
func (n Node) Ring() (*fleetkey.Ring, error) {
	cfg := fleetkey.Config{}
	for _, k := range n.FleetKeys {
		cfg.Keys = append(cfg.Keys, fleetkey.Key{ID: k.ID, Secret: k.raw})
	}
	ring, err := fleetkey.New(cfg)
	if err != nil {
		return nil, fmt.Errorf("building the key ring: %w", err)
	}
	return ring, nil
}

// Entry holds the settings of an entry.
type Entry struct {
	Node
	// BindIP is the local address of the sockets of services; if unset, the address of the service.
	BindIP netip.Addr `yaml:"bindIP,omitempty"`
	// AgentNetworks contain the agents to which packets may be sent while there is no configuration.
	AgentNetworks []netip.Prefix `yaml:"agentNetworks"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Node
	// Service is the name of the service that the agent's upstream provides.
	Service string `yaml:"service"`
	// TLS is the certificate presented to callers.
	TLS TLS `yaml:"tls"`
}

// TLS holds the names of the files of a certificate, relative to the settings file.
type TLS struct {
	CertFile string `yaml:"certFile"`
	KeyFile  string `yaml:"keyFile"`
}

// Platform holds the settings of the stand-in platform.
type Platform struct {
	ListenAddress netip.AddrPort `yaml:"listenAddress"`
	LogLevel      slog.Level     `yaml:"logLevel,omitempty"`
}

// Fabric holds the settings of the stand-in fabric.
type Fabric struct {
	Services []FabricService `yaml:"services"`
	LogLevel slog.Level      `yaml:"logLevel,omitempty"`
}

// FabricService is a service whose packets the stand-in fabric distributes over entries.
type FabricService struct {
	// ListenAddress is the UDP address that callers send to.
	ListenAddress netip.AddrPort `yaml:"listenAddress"`
	Entries       []FabricEntry  `yaml:"entries"`
}

// FabricEntry is an entry behind the stand-in fabric.
type FabricEntry struct {
	// Address is the UDP address at which the entry receives the service's packets.
	Address netip.AddrPort `yaml:"address"`
	// HealthURL answers with status 200 while the entry takes packets.
	HealthURL string `yaml:"healthURL"`
}

// Upstream holds the settings of the stand-in upstream.
type Upstream struct {
	ListenAddress netip.AddrPort `yaml:"listenAddress"`
	// AgentURL is the base URL of the agent's admin endpoint.
	AgentURL string `yaml:"agentURL"`
	// Service is the name of the service announced to the agent.
	Service string `yaml:"service"`
	// Slots is the number of requests executed concurrently, 1 or more; default DefaultSlots.
	Slots int `yaml:"slots,omitempty"`
	// ShortWork and LongWork are the execution times of short and long requests;
	// defaults DefaultShortWork and DefaultLongWork.
	ShortWork time.Duration `yaml:"shortWork,omitempty"`
	LongWork  time.Duration `yaml:"longWork,omitempty"`
	LogLevel  slog.Level    `yaml:"logLevel,omitempty"`
}
