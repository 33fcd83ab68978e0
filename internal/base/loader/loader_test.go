package loader_test

import (
	"os"
	"strings"
	"testing"

	"github.com/chivegauge/chivegauge/internal/base/loader"
	"github.com/matryer/is"
)

const example = "../../../examples/node.yaml"

// TestExample checks that the example file in the repository is valid.
func TestExample(t *testing.T) {
	is := is.New(t)
	s, err := loader.Load(example)
	is.NoErr(err)
	is.Equal(s.Service, "booking")
	is.Equal(s.Limits.SlotsInitial, loader.Defaults().Limits.SlotsInitial)
}

// TestFaults checks how the error describes each invalid setting.
func TestFaults(t *testing.T) {
	valid, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		old   string
		new   string
		fault string
	}{
		"unknown field":     {"Region: ng-sw", "Region: ng-sw\nRegoin: x", "unknown field"},
		"missing service":   {"Service: booking", "Service: \"\"", "Service:"},
		"limit with unit":   {"QueueMaxMs: 500", "QueueMaxMs: 0", "Limits.QueueMaxMs: 0 breaks min 1 ms"},
		"egress elsewhere":  {"Address: 127.0.0.1:7702", "Address: 10.20.1.7:7702", "Listeners.Egress.Address: is not on loopback"},
		"plaintext callers": {"TLS: {CertificateFile: /etc/chivegauge/caller.pem, KeyFile: /etc/chivegauge/caller.key}", "Plaintext: false", "Listeners.Caller: has no TLS"},
		"peers unchecked":   {", CAFile: /etc/chivegauge/peers-ca.pem", "", "Listeners.Peer.TLS.CAFile: is empty"},
		"short token hash":  {"TokenHash: 9b87", "TokenHash: 9b", "Listeners.Operator.TokenHash"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(string(valid), c.old, c.new, 1)
			is.True(text != string(valid))
			_, err := loader.Parse([]byte(text))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.fault))
		})
	}
}

// TestFaultsTogether checks that one error lists all invalid settings.
func TestFaultsTogether(t *testing.T) {
	is := is.New(t)
	_, err := loader.Parse([]byte("Service: x"))
	is.True(err != nil)
	for _, path := range []string{"Instance", "AvailabilityZone", "Region", "BackendServer.URL", "Store.URL", "Listeners.Caller.Address"} {
		is.True(strings.Contains(err.Error(), path))
	}
}
