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

// SubscribeDepartures registers a function that is called with a record of this node's address that says that a backend
// server is leaving: one that an earlier process of this node wrote or sent.
func (r *registrar) SubscribeDepartures(f func(rec Record)) {
	r.onDeparture = append(r.onDeparture, f)
}
