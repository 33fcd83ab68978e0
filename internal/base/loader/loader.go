package loader

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
)

// Load returns the settings in the file, or an error that lists every invalid setting.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(b)
}

// Parse returns the settings in the YAML document, or an error that lists every invalid setting.
func Parse(b []byte) (Settings, error) {
	s := Defaults()
	d := yaml.NewDecoder(bytes.NewReader(b), yaml.Strict())
	if err := d.Decode(&s); err != nil {
		return Settings{}, errors.Wrap(err, "parse settings")
	}
	if err := Check(s); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Check returns an error that lists every invalid setting by its path, or nil.
func Check(s Settings) error {
	faults := fieldFaults(s)
	faults = append(faults, listenerFaults("Listeners.Caller", s.Listeners.Caller)...)
	faults = append(faults, listenerFaults("Listeners.Peer", s.Listeners.Peer.Listener)...)
	faults = append(faults, listenerFaults("Listeners.Operator", s.Listeners.Operator.Listener)...)
	if !loopback(s.Listeners.Egress.Address) {
		faults = append(faults, "Listeners.Egress.Address: is not on loopback")
	}
	if s.Listeners.Peer.TLS.Enabled() && s.Listeners.Peer.TLS.CAFile == "" {
		faults = append(faults, "Listeners.Peer.TLS.CAFile: is empty, other nodes can't be verified")
	}
	if s.Limits.SlotsInitial > s.Limits.SlotsMax {
		faults = append(faults, "Limits.SlotsInitial: is above Limits.SlotsMax (slots)")
	}
	if len(faults) > 0 {
		return errors.New("settings: " + strings.Join(faults, "; "))
	}
	return nil
}

func fieldFaults(s Settings) []string {
	list := validator.ValidationErrors{}
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(s); err != nil && !errors.As(err, &list) {
		return []string{err.Error()}
	}
	faults := make([]string, 0, len(list))
	for _, f := range list {
		path := strings.TrimPrefix(f.Namespace(), "Settings.")
		faults = append(faults, fmt.Sprintf("%s: %v breaks %s %s%s", path, f.Value(), f.Tag(), f.Param(), unit(f.Field())))
	}
	return faults
}

func unit(field string) string {
	switch {
	case strings.HasSuffix(field, "Ms"):
		return " ms"
	case strings.HasSuffix(field, "Bytes"):
		return " bytes"
	case strings.HasPrefix(field, "Slots"):
		return " slots"
	default:
		return ""
	}
}

func listenerFaults(path string, l Listener) []string {
	if l.TLS.Enabled() || l.Plaintext || loopback(l.Address) {
		return nil
	}
	return []string{path + ": has no TLS, is not on loopback and does not set Plaintext"}
}

func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
