package connector

import "sync"

// Pool holds a connector for each address and creates it on first use.
type Pool struct {
	cfg Config

	mu         sync.Mutex
	connectors map[string]Connector
}

// NewPool returns an empty pool; cfg.Address is replaced by the address of each connector.
func NewPool(cfg Config) *Pool {
	return &Pool{
		cfg:        cfg,
		connectors: map[string]Connector{},
	}
}

// Get returns the connector for the address.
func (p *Pool) Get(address string) Connector {
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
