package registrar

import (
	"context"
	"time"
)

// repair writes the record of this node again if the store does not have it: the store did not acknowledge it, a delayed
// write of this process has overwritten it with an earlier version, or it was lost when the store came back from an older
// copy, which the era of the view shows.
func (r *registrar) repair(ctx context.Context, view View) error {
	r.writeMu.Lock()
	defer r.writeMu.Unlock()
	r.mu.Lock()
	own := r.own
	due := r.storedChange != own.Change || (time.Since(r.storedAt) > r.cfg.StaleMax && !contains(view.Records, own))
	returned := r.storedEra != view.Era
	r.mu.Unlock()
	if returned && !due {
		lost, err := r.lost(ctx, own)
		if err != nil {
			return err
		}
		due = lost
	}
	if !due {
		return nil
	}
	return r.put(ctx, own)
}

// lost reports whether the store has lost the record of this node. Unlike a list, the answer is never out of date. If all
// nodes ask at the same time, that is one read each.
func (r *registrar) lost(ctx context.Context, own Record) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout)
	defer cancel()
	view, err := r.store.Get(ctx, own.Member.Address)
	if err != nil {
		return false, err
	}
	if !contains(view.Records, own) {
		r.log.Warn().Uint64("Era", view.Era).Uint64("Change", own.Change).Bool("Leaving", own.Leaving).Int("Refused", len(own.Refused)).
			Msg("the store has lost the record of this node; writing it again")
		return true, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storedEra = view.Era
	return false, nil
}

// contains reports whether the list has the record, or a newer version of it.
func contains(list []Record, own Record) bool {
	for _, rec := range list {
		if rec.Member.Address == own.Member.Address {
			return !own.Newer(rec)
		}
	}
	return false
}

// put writes the record of this node; r.writeMu is held.
func (r *registrar) put(ctx context.Context, own Record) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout)
	defer cancel()
	era, err := r.store.Put(ctx, own)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storedChange = own.Change
	r.storedAt = time.Now()
	r.storedEra = era
	return nil
}
