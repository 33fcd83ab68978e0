package registrar

// Subscribe registers a function; it must be called before Serve.
func (r *registrar) Subscribe(f func(n int)) {
	r.subscribers = append(r.subscribers, f)
}

// SubscribeRecords registers a function; it must be called before Serve.
func (r *registrar) SubscribeRecords(f func(rec Record)) {
	r.onRecord = append(r.onRecord, f)
}

// SubscribeChanges registers a function that is called with each record that replaces an older one.
func (r *registrar) SubscribeChanges(f func(rec Record)) {
	r.onChange = append(r.onChange, f)
}
