package lender

import "github.com/chivegauge/chivegauge/internal/telemetry/asserter"

// Account holds the retry tokens of one request at one node; it is not safe for concurrent use.
type Account struct {
	initial   int
	available int
	lent      int
	spent     int
	lost      int
	children  int
}

// NewAccount returns an Account with n tokens.
func NewAccount(n int) *Account {
	return &Account{
		initial:   n,
		available: n,
	}
}

// Left returns the number of tokens that are neither lent, spent nor lost.
func (a *Account) Left() int {
	return a.available
}

// Spend spends one token on a retry and reports whether one was available.
func (a *Account) Spend() bool {
	if a.available == 0 {
		return false
	}
	a.available--
	a.spent++
	a.check()
	return true
}

// LendAttempt lends all tokens but one to an attempt and returns their number; one remains for a retry if the
// response, which returns the unspent tokens, is lost.
func (a *Account) LendAttempt() int {
	return a.lend(max(0, a.available-1))
}

// LendNested lends half of the tokens, rounded up, to a nested call and returns their number.
func (a *Account) LendNested() int {
	return a.lend((a.available + 1) / 2)
}

func (a *Account) lend(n int) int {
	a.available -= n
	a.lent += n
	a.children++
	a.check()
	return n
}

// Return ends a loan and adds its unspent tokens back; a number above the loan is limited to the loan.
func (a *Account) Return(loan, unspent int) {
	asserter.Check(asserter.RetryTokensConserved, unspent >= 0 && unspent <= loan)
	unspent = min(max(unspent, 0), loan)
	a.lent -= loan
	a.available += unspent
	a.spent += loan - unspent
	a.check()
}

// Lose ends a loan whose unspent tokens are unknown because the response was lost; all its tokens count as lost.
func (a *Account) Lose(loan int) {
	a.lent -= loan
	a.lost += loan
	a.check()
}

// check asserts that no token was created or destroyed.
func (a *Account) check() {
	conserved := a.available+a.lent+a.spent+a.lost == a.initial
	asserter.Check(asserter.RetryTokensConserved, conserved && a.available >= 0 && a.lent >= 0)
}
