package registrar

func (r *registrar) logFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failing {
		r.failing = true
		r.log.Warn().Err(err).Int("Nodes", len(r.records)+1).Msg("list of nodes lost")
	}
}

func (r *registrar) logRecovery() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing {
		r.failing = false
		r.log.Info().Int("Nodes", len(r.records)+1).Msg("list of nodes regained")
	}
}
