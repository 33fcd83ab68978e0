package budgeter

// Budgeter keeps a retry budget for each destination.
type Budgeter interface {
	// First counts a first attempt towards the destination.
	First(destination string)
	// Retry takes one retry from the budget and reports whether it was there.
	Retry(destination string) bool
}

type budgeter struct {
	ratio   float64
	reserve float64
	budgets map[string]float64
}

// New returns a budgeter of ratio retries for each first attempt; reserve is the most that is saved up.
func New(ratio, reserve float64) Budgeter {
	return &budgeter{
		ratio:   ratio,
		reserve: reserve,
		budgets: map[string]float64{},
	}
}

// First adds the ratio to the budget of the destination.
func (b *budgeter) First(destination string) {
	b.budgets[destination] = min(b.reserve, b.budget(destination)+b.ratio)
}

// Retry takes one from the budget of the destination.
func (b *budgeter) Retry(destination string) bool {
	have := b.budget(destination)
	if have < 1 {
		return false
	}
	b.budgets[destination] = have - 1
	return true
}

func (b *budgeter) budget(destination string) float64 {
	have, ok := b.budgets[destination]
	if !ok {
		return b.reserve
	}
	return have
}
