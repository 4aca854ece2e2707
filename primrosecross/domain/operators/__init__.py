"""What operators declare, ask and see: plan, status, events, metrics."""
