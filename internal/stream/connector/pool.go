package connector

import "sync"

// Pool holds a connector for each address, made when it is first asked for.
type Pool struct {
	cfg Config

	mu         sync.Mutex
	connectors map[string]Connector
}

// NewPool returns an empty pool; the address of the config is filled in.
func NewPool(cfg Config) *Pool {
	return &Pool{
		cfg:        cfg,
		connectors: map[string]Connector{},
	}
}

// At returns the connector of the address.
func (p *Pool) At(address string) Connector {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.connectors[address]
	if c == nil {
		cfg := p.cfg
		cfg.Address = address
		c = New(cfg)
		p.connectors[address] = c
	}
	return c
}
