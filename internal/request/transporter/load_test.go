package transporter_test

import (
	"testing"

	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/request/transporter"
	"github.com/matryer/is"
)

// TestLoad checks that a load survives encoding and decoding, and that an invalid text is decoded as no load.
func TestLoad(t *testing.T) {
	is := is.New(t)
	l := picker.Load{
		Running:     12,
		Waiting:     3,
		Limit:       100,
		FailureRate: 0.125,
	}
	is.Equal(transporter.DecodeLoad(transporter.EncodeLoad(l)), l)
	three := picker.Load{
		Running: 1,
		Waiting: 2,
		Limit:   3,
	}
	tests := map[string]struct {
		text string
		want picker.Load
	}{
		"without failures": {text: "1/2/3", want: three},
		"too short":        {text: "1/2"},
		"no numbers":       {text: "1/x/3"},
		"below zero":       {text: "1/-2/3"},
		"empty":            {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(transporter.DecodeLoad(tt.text), tt.want) })
	}
}
