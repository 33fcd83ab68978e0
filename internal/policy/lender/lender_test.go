package lender_test

import (
	"os"
	"testing"

	"github.com/chivegauge/chivegauge/internal/policy/lender"
	"github.com/chivegauge/chivegauge/internal/proof/seeder"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m))
}

// tree counts the extra attempts of a whole call tree whose answers may be lost.
type tree struct {
	t     *rapid.T
	extra int
	depth int
}

// call stands for one node's work on a call: attempts, each with nested calls, until no token is left.
func (c *tree) call(tokens, depth int) int {
	account := lender.NewAccount(tokens)
	for {
		loan := account.LendAttempt()
		if rapid.IntRange(0, 3).Draw(c.t, "lost") == 0 {
			c.serve(loan, depth)
			account.Lose(loan)
		} else {
			account.Return(loan, c.serve(loan, depth))
		}
		if !rapid.Bool().Draw(c.t, "again") || !account.Spend() {
			return account.Left()
		}
		c.extra++
	}
}

// serve stands for one run at a backend server with some nested calls, and returns the tokens unspent.
func (c *tree) serve(tokens, depth int) int {
	account := lender.NewAccount(tokens)
	if depth == c.depth {
		return account.Left()
	}
	for range rapid.IntRange(0, 2).Draw(c.t, "nested") {
		loan := account.LendNested()
		account.Return(loan, c.call(loan, depth+1))
	}
	return account.Left()
}

// TestTreeStaysWithinItsTokens bounds the extra attempts of a call tree by the tokens that it was born with.
func TestTreeStaysWithinItsTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		born := rapid.IntRange(0, 8).Draw(t, "born")
		c := &tree{
			t:     t,
			depth: 4,
		}
		left := c.call(born, 1)
		if c.extra+left > born {
			t.Fatalf("%d extra attempts and %d left of %d tokens", c.extra, left, born)
		}
	})
}
