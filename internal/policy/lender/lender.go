package lender

import "github.com/chivegauge/chivegauge/internal/telemetry/asserter"

// Account holds the retry tokens of one request at one node; it is not safe for concurrent use.
type Account struct {
	born     int
	left     int
	lent     int
	spent    int
	lost     int
	children int
}

// NewAccount returns an account of n tokens.
func NewAccount(n int) *Account {
	return &Account{
		born: n,
		left: n,
	}
}

// Left returns the number of tokens neither lent nor spent.
func (a *Account) Left() int {
	return a.left
}

// Spend takes one token for an extra attempt and reports whether there was one.
func (a *Account) Spend() bool {
	if a.left == 0 {
		return false
	}
	a.left--
	a.spent++
	a.check()
	return true
}

// LendAttempt lends all tokens but one to an attempt, so that one remains if its answer is lost.
func (a *Account) LendAttempt() int {
	return a.lend(max(0, a.left-1))
}

// LendNested lends half of the tokens, rounded up, to a nested call.
func (a *Account) LendNested() int {
	return a.lend((a.left + 1) / 2)
}

func (a *Account) lend(n int) int {
	a.left -= n
	a.lent += n
	a.children++
	a.check()
	return n
}

// Return takes back the unspent tokens of a loan; what is above the loan is refused.
func (a *Account) Return(loan, unspent int) {
	asserter.Check(asserter.RetryTokensConserved, unspent >= 0 && unspent <= loan)
	unspent = min(max(unspent, 0), loan)
	a.lent -= loan
	a.left += unspent
	a.spent += loan - unspent
	a.check()
}

// Lose writes off a loan whose answer was lost.
func (a *Account) Lose(loan int) {
	a.lent -= loan
	a.lost += loan
	a.check()
}

func (a *Account) check() {
	whole := a.left+a.lent+a.spent+a.lost == a.born
	asserter.Check(asserter.RetryTokensConserved, whole && a.left >= 0 && a.lent >= 0)
}
