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

// tree counts the retries of a whole call tree whose responses may be lost.
type tree struct {
	t        *rapid.T
	retries  int
	maxDepth int
}

// call simulates one node's handling of a call: attempts, each with nested calls, until one succeeds or no token is
// left. It returns the unspent tokens.
func (ct *tree) call(tokens, depth int) int {
	account := lender.NewAccount(tokens)
	for {
		loan := account.LendAttempt()
		if rapid.IntRange(0, 3).Draw(ct.t, "lost") == 0 {
			ct.serve(loan, depth)
			account.Lose(loan)
		} else {
			account.Return(loan, ct.serve(loan, depth))
		}
		if !rapid.Bool().Draw(ct.t, "again") || !account.Spend() {
			return account.Left()
		}
		ct.retries++
	}
}

// serve simulates one run at a backend server with up to two nested calls, and returns the unspent tokens.
func (ct *tree) serve(tokens, depth int) int {
	account := lender.NewAccount(tokens)
	if depth == ct.maxDepth {
		return account.Left()
	}
	for range rapid.IntRange(0, 2).Draw(ct.t, "nested") {
		loan := account.LendNested()
		account.Return(loan, ct.call(loan, depth+1))
	}
	return account.Left()
}

// TestTreeStaysWithinItsTokens checks that a call tree makes no more retries than the tokens it started with.
func TestTreeStaysWithinItsTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		initial := rapid.IntRange(0, 8).Draw(t, "born")
		ct := &tree{
			t:        t,
			maxDepth: 4,
		}
		unspent := ct.call(initial, 1)
		if ct.retries+unspent > initial {
			t.Fatalf("%d retries and %d unspent tokens of %d tokens at the start", ct.retries, unspent, initial)
		}
	})
}
