package budgeter

// Budgeter tracks a retry budget for each destination.
type Budgeter interface {
	// CountFirst counts a first attempt to the destination.
	CountFirst(destination string)
	// TryRetry deducts one retry from the budget of the destination and reports whether the budget allowed it.
	TryRetry(destination string) bool
}

type budgeter struct {
	ratio      float64
	balanceMax float64
	balances   map[string]float64
}

// New returns a Budgeter that allows ratio retries for each first attempt; each budget starts at its maximum of
// balanceMax retries.
func New(ratio, balanceMax float64) Budgeter {
	return &budgeter{
		ratio:      ratio,
		balanceMax: balanceMax,
		balances:   map[string]float64{},
	}
}

// CountFirst adds ratio retries to the budget of the destination.
func (b *budgeter) CountFirst(destination string) {
	b.balances[destination] = min(b.balanceMax, b.balance(destination)+b.ratio)
}

// TryRetry deducts one retry from the budget of the destination.
func (b *budgeter) TryRetry(destination string) bool {
	balance := b.balance(destination)
	if balance < 1 {
		return false
	}
	b.balances[destination] = balance - 1
	return true
}

func (b *budgeter) balance(destination string) float64 {
	balance, ok := b.balances[destination]
	if !ok {
		return b.balanceMax
	}
	return balance
}
