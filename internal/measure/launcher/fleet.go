package launcher

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	token             = "operator-credential-of-this-fleet"
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
	callTimeout       = 10 * time.Second
	fileMode          = 0o600
	programDir        = "bin"
	// slotImbalanceMax is the difference in rate slots up to which two nodes count as balanced.
	slotImbalanceMax = 2
)

var programs = []string{"chivegauge", "standin-store", "standin-backend"}

// InstanceSpec is the behaviour of a backend server and the settings of its node.
type InstanceSpec struct {
	Service   string
	Zone      string
	Region    string
	Slots     int
	ServiceMs float64
	Nested    []string
	// Args are additional arguments of the backend server.
	Args []string
	// Settings is YAML added to the settings of the node.
	Settings string
	// Advertise is the address under which other nodes reach the peer listener, which then listens on Listen.
	Advertise string
	Listen    string
	// PeerTLS is YAML added to the settings of the peer listener.
	PeerTLS string
	// NodeOnly starts no backend server.
	NodeOnly bool
}

// Instance is a backend server with its node, and the addresses of their listeners.
type Instance struct {
	Spec   InstanceSpec
	Caller string
	// Peer is the advertised address of the peer listener, and Listen the address that it listens on.
	Peer     string
	Listen   string
	Egress   string
	Operator string
	// Address is the address of the backend server.
	Address string
	Backend *Process
	Node    *Process

	settings string
}

// Fleet is a store and the instances that use it.
type Fleet struct {
	Instances []*Instance
	StoreURL  string
	// NodeStore is the store URL in the settings of the nodes; it is StoreURL if empty.
	NodeStore string
	Store     *Process

	mu     sync.Mutex
	dir    string
	log    *os.File
	policy string
}

// New builds the programs and starts a store, or returns an error; policy is YAML added to the settings of each node.
func New(policy string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "chivegauge-")
	if err != nil {
		return nil, errors.Wrap(err, "create directory")
	}
	f := &Fleet{
		dir:    dir,
		policy: policy,
	}
	if err := f.build(); err != nil {
		return nil, err
	}
	if f.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		return nil, errors.Wrap(err, "create log")
	}
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	f.StoreURL = "http://" + address
	return f, f.StartStore()
}

func (f *Fleet) build() error {
	args := []string{"build", "-o", filepath.Join(f.dir, programDir) + "/"}
	for _, p := range programs {
		args = append(args, "github.com/chivegauge/chivegauge/cmd/"+p)
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return errors.Wrapf(err, "build: %s", out)
	}
	return nil
}

func (f *Fleet) program(name string) string {
	return filepath.Join(f.dir, programDir, name)
}

// LogFile returns the path of the file that all processes log to.
func (f *Fleet) LogFile() string {
	return f.log.Name()
}

// StartStore starts the store with the objects of its previous process.
func (f *Fleet) StartStore() error {
	p, err := startProcess(f.log, f.program("standin-store"), "--listen", strings.TrimPrefix(f.StoreURL, "http://"), "--file", filepath.Join(f.dir, "objects"))
	if err != nil {
		return err
	}
	f.Store = p
	return waitFor(f.StoreURL + "/counts")
}

// Ports are taken from 12000 on, below those that the kernel gives to outgoing connections, one of which might take a
// port between its choice and its use.
var (
	portMu   sync.Mutex
	portNext = 12000 + os.Getpid()%200*100
)

// FreeAddress returns a loopback address with a free port.
func FreeAddress() (string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range 2000 {
		portNext++
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(portNext))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, ln.Close()
	}
	return "", errors.New("no free port")
}

// Add starts a backend server and its node, without waiting until the node is ready.
func (f *Fleet) Add(spec InstanceSpec) (*Instance, error) {
	s := &Instance{
		Spec: spec,
	}
	for _, a := range []*string{&s.Caller, &s.Listen, &s.Egress, &s.Operator, &s.Address} {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	s.Peer = s.Listen
	if spec.Advertise != "" {
		s.Peer = spec.Advertise
		s.Listen = spec.Listen
	}
	s.settings = filepath.Join(f.dir, "node-"+strings.ReplaceAll(s.Peer, ":", "-")+".yaml")
	if err := os.WriteFile(s.settings, []byte(f.settings(s)), fileMode); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	if !spec.NodeOnly {
		if err := f.StartBackend(s); err != nil {
			return nil, err
		}
	}
	if err := f.StartNode(s); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Instances = append(f.Instances, s)
	return s, nil
}

func (f *Fleet) settings(s *Instance) string {
	hash := sha256.Sum256([]byte(token))
	return fmt.Sprintf(`Instance: 127.0.0.1
AvailabilityZone: %s
Region: %s
Service: %s
BackendServer:
  URL: http://%s
Listeners:
  Caller: {Address: %q}
  Peer: {Address: %q%s}
  Egress: {Address: %q}
  Operator: {Address: %q, TokenHash: %q}
Store:
  URL: %s
%s
%s
`, s.Spec.Zone, s.Spec.Region, s.Spec.Service, s.Address, s.Caller, s.Listen, peerSettings(s), s.Egress, s.Operator,
		hex.EncodeToString(hash[:]), f.nodeStoreURL(), f.policy, s.Spec.Settings)
}

// peerSettings returns the settings of the peer listener that follow its address.
func peerSettings(s *Instance) string {
	extras := s.Spec.PeerTLS
	if s.Peer != s.Listen {
		extras += fmt.Sprintf(", Advertise: %q", s.Peer)
	}
	return extras
}

func (f *Fleet) nodeStoreURL() string {
	if f.NodeStore != "" {
		return f.NodeStore
	}
	return f.StoreURL
}

// StartBackend starts the backend server of an instance.
func (f *Fleet) StartBackend(s *Instance) error {
	args := []string{
		"--listen", s.Address,
		"--egress", "http://" + s.Egress,
		"--slots", strconv.Itoa(s.Spec.Slots),
		"--service-ms", strconv.FormatFloat(s.Spec.ServiceMs, 'f', -1, 64),
	}
	for _, n := range s.Spec.Nested {
		args = append(args, "--nested", n)
	}
	p, err := startProcess(f.log, f.program("standin-backend"), append(args, s.Spec.Args...)...)
	if err != nil {
		return err
	}
	s.Backend = p
	return nil
}

// StartNode starts the node of an instance.
func (f *Fleet) StartNode(s *Instance) error {
	p, err := startProcess(f.log, f.program("chivegauge"), "node", "--settings", s.settings)
	if err != nil {
		return err
	}
	s.Node = p
	return waitFor("http://" + s.Operator + "/livez")
}

// WaitReady waits until each running node is ready and lists at least the given number of members; it returns an error
// after 20 s.
func (f *Fleet) WaitReady(members int) error {
	for _, s := range f.Instances {
		if s.Node.Ended() {
			continue
		}
		if err := waitFor("http://" + s.Operator + "/readyz"); err != nil {
			return errors.Wrapf(err, "node %s", s.Peer)
		}
		if err := f.waitMembers(s, members); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) waitMembers(s *Instance, members int) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		n, err := f.Metric(s, "chivegauge_members")
		if err == nil && int(n) >= members {
			return nil
		}
	}
	return errors.Errorf("node %s did not list %d members in time", s.Peer, members)
}

// waitFor waits until the URL returns status 200; it returns an error after 20 s.
func waitFor(url string) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		res, err := http.Get(url)
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("%s was not ready in time", url)
}

// Close kills each process and, unless keep is set, removes the settings and the log.
func (f *Fleet) Close(keep bool) {
	for _, s := range f.Instances {
		s.Node.Kill()
		if s.Backend != nil {
			s.Backend.Kill()
		}
	}
	f.Store.Kill()
	_ = f.log.Close()
	if !keep {
		_ = os.RemoveAll(f.dir)
	}
}
