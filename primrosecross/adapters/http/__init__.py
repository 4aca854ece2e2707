"""HTTP of callers, targets and metrics."""
