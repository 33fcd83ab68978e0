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
	token      = "operator-credential-of-this-fleet"
	readyTime  = 20 * time.Second
	readyPoll  = 20 * time.Millisecond
	callTime   = 10 * time.Second
	fileMode   = 0o600
	programDir = "bin"
	levelSlack = 2
)

var programs = []string{"chivegauge", "standin-store", "standin-backend"}

// InstanceSpec is the behaviour of a backend server and what stands in its node's
// settings; a bare one is a node without a backend server.
type InstanceSpec struct {
	Service   string
	Zone      string
	Region    string
	Slots     int
	ServiceMs float64
	Nested    []string
	Args      []string
	Settings  string
	Advertise string
	Listen    string
	PeerTLS   string
	NodeOnly  bool
}

// Instance is one instance: a backend server with its node.
type Instance struct {
	Spec     InstanceSpec
	Caller   string
	Peer     string
	Listen   string
	Egress   string
	Operator string
	Address  string
	Backend  *Process
	Node     *Process

	settings string
}

// Fleet is a store and a number of instances.
type Fleet struct {
	Instances []*Instance
	StoreURL  string
	NodeStore string
	Store     *Process

	mu     sync.Mutex
	dir    string
	log    *os.File
	policy string
}

// New builds the programs and starts a store, or returns an error; policy is settings text for each node.
func New(policy string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "chivegauge-")
	if err != nil {
		return nil, errors.Wrap(err, "make directory")
	}
	f := &Fleet{
		dir:    dir,
		policy: policy,
	}
	if err := f.build(); err != nil {
		return nil, err
	}
	if f.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		return nil, errors.Wrap(err, "make log")
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

// StartStore starts the store with the objects that it held before.
func (f *Fleet) StartStore() error {
	p, err := startProcess(f.log, f.program("standin-store"), "--listen", strings.TrimPrefix(f.StoreURL, "http://"), "--file", filepath.Join(f.dir, "objects"))
	if err != nil {
		return err
	}
	f.Store = p
	return waitFor(f.StoreURL + "/counts")
}

var (
	portMu   sync.Mutex
	portNext = 21000 + os.Getpid()%300*100
)

// FreeAddress returns a loopback address on which nothing listens.
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
`, s.Spec.Zone, s.Spec.Region, s.Spec.Service, s.Address, s.Caller, s.Listen, peerExtras(s), s.Egress, s.Operator,
		hex.EncodeToString(hash[:]), f.storeOf(), f.policy, s.Spec.Settings)
}

// peerExtras returns the settings of the peer listener beside its address.
func peerExtras(s *Instance) string {
	extras := s.Spec.PeerTLS
	if s.Peer != s.Listen {
		extras += fmt.Sprintf(", Advertise: %q", s.Peer)
	}
	return extras
}

func (f *Fleet) storeOf() string {
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

// WaitReady returns when each instance's node is ready and knows of members members.
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
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(readyPoll) {
		n, err := f.Metric(s, "chivegauge_members")
		if err == nil && int(n) >= members {
			return nil
		}
	}
	return errors.Errorf("node %s does not know %d members in time", s.Peer, members)
}

// waitFor returns when the URL answers 200.
func waitFor(url string) error {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(readyPoll) {
		res, err := http.Get(url)
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("%s is not ready in time", url)
}

// Close ends each process and removes the files, or keeps them for reading after a failure.
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
