"""Who owns which keys: election, leases, assignment, balance, hand-over."""
