package settings

import (
	"encoding/base64"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/strictyaml"
)

// LoadEntry reads the settings of an entry. Like those of the other Load functions, its error lists all
// problems of the file, see strictyaml.FileErrors.
func LoadEntry(path string) (Entry, error) {
	e := Entry{Node: defaultNode()}
	err := load(path, &e, func(c *checker) {
		c.node(&e.Node)
		if e.PlatformURL == "" {
			c.missing("platformURL", expectedURL)
		}
		if e.BindIP.IsValid() && !e.BindIP.Is4() {
			c.reject("bindIP", expectedIPv4, "address %s", e.BindIP)
		}
		c.networks("agentNetworks", e.AgentNetworks)
	})
	return e, err
}

// LoadAgent reads the settings of an agent.
func LoadAgent(path string) (Agent, error) {
	a := Agent{Node: defaultNode()}
	err := load(path, &a, func(c *checker) {
		c.node(&a.Node)
		c.name("service", a.Service)
		c.readableFile("tls.certFile", &a.TLS.CertFile)
		c.readableFile("tls.keyFile", &a.TLS.KeyFile)
	})
	return a, err
}

// LoadPlatform reads the settings of the stand-in platform.
func LoadPlatform(path string) (Platform, error) {
	var p Platform
	err := load(path, &p, func(c *checker) { c.address("listenAddress", p.ListenAddress) })
	return p, err
}

// LoadFabric reads the settings of the stand-in fabric.
func LoadFabric(path string) (Fabric, error) {
	var f Fabric
	err := load(path, &f, func(c *checker) {
		if len(f.Services) == 0 {
			c.reject("services", "at least one service", "no services")
		}
		for i, s := range f.Services {
			key := fmt.Sprintf("services[%d]", i)
			c.address(key+".listenAddress", s.ListenAddress)
			if len(s.Entries) == 0 {
				c.reject(key+".entries", "at least one entry", "no entries")
			}
			for j, e := range s.Entries {
				entry := fmt.Sprintf("%s.entries[%d]", key, j)
				c.address(entry+".address", e.Address)
				c.url(entry+".healthURL", e.HealthURL)
			}
		}
	})
	return f, err
}

// LoadUpstream reads the settings of the stand-in upstream.
func LoadUpstream(path string) (Upstream, error) {
	u := Upstream{Slots: DefaultSlots, ShortWork: DefaultShortWork, LongWork: DefaultLongWork}
	err := load(path, &u, func(c *checker) {
		c.address("listenAddress", u.ListenAddress)
		c.url("agentURL", u.AgentURL)
		c.name("service", u.Service)
		if u.Slots < 1 {
			c.reject("slots", "an integer of 1 or more", "%d slots", u.Slots)
		}
		c.duration("shortWork", u.ShortWork)
		c.duration("longWork", u.LongWork)
	})
	return u, err
}

func defaultNode() Node { return Node{ShutdownGrace: DefaultShutdownGrace} }

// Expected values, as shown in problems.
const (
	expectedURL    = "a URL such as http://10.0.0.1:8080"
	expectedIPv4   = "an IPv4 address"
	expectedSecret = "base64 of at least 32 bytes"
)

// load reads the single document of a file into settings and checks them.
func load(path string, into any, check func(*checker)) error {
	docs, problems := strictyaml.ReadFile(path)
	if len(docs) != 1 && len(problems) == 0 {
		problems = append(problems, strictyaml.Problem{File: path, Text: fmt.Sprintf("%d documents", len(docs)), Expected: "one document of settings"})
	}
	if len(docs) == 1 {
		docs[0].DecodeDocument(into)
		check(&checker{doc: docs[0], dir: filepath.Dir(path)})
	}
	for _, d := range docs {
		problems = append(problems, d.Problems...)
	}
	return problems.Err()
}

// checker reports values that have the right type but are invalid. Keys that are absent or already reported are
// skipped.
type checker struct {
	doc *strictyaml.Document
	// dir is the directory of the settings file, against which relative file names are resolved.
	dir string
}

func (c *checker) skip(key string) bool { return !c.doc.Has(key) || c.doc.Failed(key) }

func (c *checker) reject(key, expected, format string, args ...any) {
	if !c.skip(key) {
		c.doc.Reportf(key, expected, format, args...)
	}
}

func (c *checker) missing(key, expected string) {
	if !c.doc.Failed(key) {
		c.doc.Reportf(key, expected, "missing key")
	}
}

func (c *checker) node(n *Node) {
	c.name("zone", n.Zone)
	c.name("region", n.Region)
	c.address("tunnelAddress", n.TunnelAddress)
	c.address("controlAddress", n.ControlAddress)
	c.address("peerAddress", n.PeerAddress)
	c.address("adminAddress", n.AdminAddress)
	if n.TunnelAddress == n.ControlAddress {
		c.reject("controlAddress", "an address other than tunnelAddress", "address %s is used twice", n.ControlAddress)
	}
	if n.PeerAddress == n.TunnelAddress || n.PeerAddress == n.ControlAddress {
		c.reject("peerAddress", "an address other than tunnelAddress and controlAddress", "address %s is used twice", n.PeerAddress)
	}
	c.url("platformURL", n.PlatformURL)
	for i, s := range n.Seeds {
		c.address(fmt.Sprintf("seeds[%d]", i), s)
	}
	c.duration("shutdownGrace", n.ShutdownGrace)
	c.fleetKeys(n.FleetKeys)
}

// name checks a name that becomes part of a store key.
func (c *checker) name(key, value string) {
	if value == "" || strings.ContainsAny(value, "/ \t\n") {
		c.reject(key, "a name without spaces and slashes", "%q", value)
	}
}

func (c *checker) address(key string, a netip.AddrPort) {
	if !a.Addr().Is4() || a.Port() == 0 {
		c.reject(key, "an IPv4 address with a port above 0", "address %s", a)
	}
}

func (c *checker) networks(key string, networks []netip.Prefix) {
	if len(networks) == 0 {
		c.reject(key, "at least one network", "no networks")
	}
	for i, n := range networks {
		if !n.Addr().Is4() || n != n.Masked() {
			c.reject(fmt.Sprintf("%s[%d]", key, i), "an IPv4 network without host bits", "network %s", n)
		}
	}
}

func (c *checker) url(key, text string) {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.reject(key, expectedURL, "%q", text)
	}
}

func (c *checker) duration(key string, d time.Duration) {
	if d < 0 || d > time.Hour {
		c.reject(key, "a duration from 0s to 1h", "duration %s", d)
	}
}

// readableFile resolves a file name relative to the settings file and checks that the file can be opened.
func (c *checker) readableFile(key string, name *string) {
	if c.skip(key) {
		return
	}
	*name = c.resolve(*name)
	f, err := os.Open(*name)
	if err != nil {
		c.reject(key, "a readable file", "%v", err)
		return
	}
	_ = f.Close()
}

func (c *checker) resolve(name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(c.dir, name)
}

// fleetKeys checks the fleet keys and decodes their secrets.
func (c *checker) fleetKeys(fleetKeys []FleetKey) {
	if len(fleetKeys) == 0 {
		c.reject("fleetKeys", "at least one key", "no keys")
	}
	seen := make(map[uint8]bool)
	for i := range fleetKeys {
		key := fmt.Sprintf("fleetKeys[%d]", i)
		if seen[fleetKeys[i].ID] {
			c.reject(key+".id", "a unique ID", "second key with ID %d", fleetKeys[i].ID)
		}
		seen[fleetKeys[i].ID] = true
		c.fleetKeySecret(key, &fleetKeys[i])
	}
}

func (c *checker) fleetKeySecret(key string, k *FleetKey) {
	if (k.Secret == "") == (k.SecretFile == "") {
		c.reject(key, "either secret or secretFile", "both or neither given")
		return
	}
	secretKey, text := key+".secret", k.Secret
	if k.SecretFile != "" {
		secretKey = key + ".secretFile"
		data, err := os.ReadFile(c.resolve(k.SecretFile))
		if err != nil {
			c.reject(secretKey, "a readable file", "%v", err)
			return
		}
		text = strings.TrimSpace(string(data))
	}
	raw, err := base64.StdEncoding.DecodeString(text)
	// The message must not contain the secret.
	if err != nil || len(raw) < fleetkey.MinSecretBytes {
		c.reject(secretKey, expectedSecret, "unusable secret")
		return
	}
	k.raw = raw
}
