package sizer

import (
	"fmt"
	"time"

	"github.com/chivegauge/chivegauge/internal/measure/launcher"
	"github.com/chivegauge/chivegauge/internal/standin/storeserver"
	"github.com/go-faster/errors"
)

const (
	zones              = 4
	settleTime         = 8 * time.Second
	windowTime         = 20 * time.Second
	changeCount        = 10
	changeTimeout      = 30 * time.Second
	changePollInterval = 20 * time.Millisecond
	bytesPerMiB        = 1 << 20
	settings           = "LogLevel: warn"
)

// Size is the measurement of one fleet size; figures per node are means over the nodes, and those of a change are means
// over the changes unless named otherwise.
type Size struct {
	Nodes                   int
	ControlBytesPerSecond   float64
	CorePercent             float64
	MemoryMiB               float64
	StoreCallsPerSecond     float64
	BootReadsPerNode        float64
	BootListsPerNode        float64
	BootWritesPerNode       float64
	ChangeSecondsMean       float64
	ChangeSecondsMax        float64
	ChangeBytesPerNode      float64
	ChangeStoreCallsPerNode float64
}

// Measure starts a fleet of nodes without backend servers and measures it, or returns an error.
func Measure(nodes int) (Size, error) {
	f, err := launcher.New(settings)
	if err != nil {
		return Size{}, err
	}
	m := &measurement{
		fleet: f,
		size: Size{
			Nodes: nodes,
		},
	}
	if err := m.run(); err != nil {
		f.Close(true)
		return m.size, errors.Wrapf(err, "log in %s", f.LogFile())
	}
	f.Close(false)
	return m.size, nil
}

type measurement struct {
	fleet *launcher.Fleet
	size  Size
}

func (m *measurement) run() error {
	if err := m.boot(); err != nil {
		return err
	}
	if err := m.idle(); err != nil {
		return err
	}
	return m.changes()
}

func (m *measurement) boot() error {
	for n := range m.size.Nodes {
		if _, err := m.fleet.Add(launcher.InstanceSpec{
			Service:  fmt.Sprintf("service%d", n%5),
			Zone:     fmt.Sprintf("zone%d", n%zones),
			Region:   "region",
			NodeOnly: true,
		}); err != nil {
			return err
		}
	}
	if err := m.fleet.Apply(m.fleet.Instances[0], launcher.SetWorkspace("golf", 100, 50), launcher.GiveKey("golf", "golf1")); err != nil {
		return err
	}
	if err := m.fleet.WaitReady(m.size.Nodes); err != nil {
		return err
	}
	c, err := m.counts()
	if err != nil {
		return err
	}
	nodes := float64(m.size.Nodes)
	m.size.BootReadsPerNode = float64(c.Reads) / nodes
	m.size.BootListsPerNode = float64(c.Lists) / nodes
	m.size.BootWritesPerNode = float64(c.Writes) / nodes
	time.Sleep(settleTime + time.Duration(m.size.Nodes)*100*time.Millisecond)
	return nil
}

func (m *measurement) counts() (storeserver.Counts, error) {
	c := storeserver.Counts{}
	return c, m.fleet.GetJSON(m.fleet.StoreURL+"/counts", &c)
}

// total is the control bytes, the CPU time and the memory in bytes of all nodes, and the number of store calls, at one
// moment.
type total struct {
	bytes float64
	cpu   time.Duration
	mem   int
	calls int
}

func (m *measurement) total() (total, error) {
	t := total{}
	for _, s := range m.fleet.Instances {
		b, err := m.fleet.Metric(s, "chivegauge_control_bytes")
		if err != nil {
			return t, err
		}
		u, err := usageOf(s.Node.ID())
		if err != nil {
			return t, err
		}
		// The node that opened a connection counts its bytes, but they are traffic of both nodes.
		t.bytes += 2 * b
		t.cpu += u.cpu
		t.mem += u.memory
	}
	c, err := m.counts()
	t.calls = c.Reads + c.Writes + c.Watches + c.Lists
	return t, err
}

// idle measures a fleet that serves no requests.
func (m *measurement) idle() error {
	before, err := m.total()
	if err != nil {
		return err
	}
	time.Sleep(windowTime)
	after, err := m.total()
	if err != nil {
		return err
	}
	nodes := float64(m.size.Nodes)
	m.size.ControlBytesPerSecond = (after.bytes - before.bytes) / nodes / windowTime.Seconds()
	m.size.CorePercent = 100 * (after.cpu - before.cpu).Seconds() / nodes / windowTime.Seconds()
	m.size.MemoryMiB = float64(after.mem) / nodes / bytesPerMiB
	m.size.StoreCallsPerSecond = float64(after.calls-before.calls) / windowTime.Seconds()
	return nil
}

// changes measures how long changes of the configuration take to become active on each node, and their traffic minus
// that of an idle fleet.
func (m *measurement) changes() error {
	before, err := m.total()
	if err != nil {
		return err
	}
	start := time.Now()
	sum := time.Duration(0)
	for n := range changeCount {
		took, err := m.change(n)
		if err != nil {
			return err
		}
		sum += took
		m.size.ChangeSecondsMax = max(m.size.ChangeSecondsMax, took.Seconds())
	}
	elapsed := time.Since(start).Seconds()
	after, err := m.total()
	if err != nil {
		return err
	}
	nodes := float64(m.size.Nodes)
	m.size.ChangeSecondsMean = sum.Seconds() / changeCount
	idle := m.size.ControlBytesPerSecond * elapsed
	m.size.ChangeBytesPerNode = ((after.bytes-before.bytes)/nodes - idle) / changeCount
	m.size.ChangeStoreCallsPerNode = (float64(after.calls-before.calls) - m.size.StoreCallsPerSecond*elapsed) / nodes / changeCount
	return nil
}

// change applies one change and returns the time until it is active on each node, or changeTimeout if that takes
// longer.
func (m *measurement) change(n int) (time.Duration, error) {
	instance := m.fleet.Instances[(n*7)%len(m.fleet.Instances)]
	if err := m.fleet.Apply(instance, launcher.SetWorkspace("golf", float64(100+n), 50)); err != nil {
		return 0, err
	}
	start := time.Now()
	target, err := m.fleet.Metric(instance, "chivegauge_configuration_revision")
	if err != nil {
		return 0, err
	}
	pending := m.fleet.Instances
	for time.Since(start) < changeTimeout {
		var remaining []*launcher.Instance
		for _, s := range pending {
			r, err := m.fleet.Metric(s, "chivegauge_configuration_revision")
			if err != nil {
				return 0, err
			}
			if r < target {
				remaining = append(remaining, s)
			}
		}
		if len(remaining) == 0 {
			return time.Since(start), nil
		}
		pending = remaining
		time.Sleep(changePollInterval)
	}
	return changeTimeout, nil
}
