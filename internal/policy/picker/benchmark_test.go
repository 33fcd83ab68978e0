package picker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
)

// BenchmarkPick measures one attempt, with none and with one member ejected.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{17, 100, 1900} {
		for _, ejected := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d members, ejected %v", size, ejected), func(b *testing.B) {
				now := time.Unix(1000, 0)
				members := []chivegauge.Member{}
				for n := range size {
					members = append(members, member(fmt.Sprintf("10.0.%d.%d:8543", n/250, n%250), fmt.Sprintf("sw-%d", n%4)))
				}
				p := picker.New("sw-1", "sw")
				if ejected {
					p.Begin(members[0].Address)
					p.End(now, members[0].Address, picker.Unreached, picker.Load{})
				}
				random := rand.New(rand.NewPCG(1, 1)).IntN
				b.ReportAllocs()
				for b.Loop() {
					m, _ := p.Pick(now, members, nil, random)
					p.Begin(m.Address)
					p.End(now, m.Address, picker.Succeeded, picker.Load{
						Running: 1,
						Limit:   100,
					})
				}
			})
		}
	}
}
