"""Which VMs and targets there are, and what each daemon knows of them."""
