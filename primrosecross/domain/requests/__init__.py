"""Where a request goes, who waits, who is refused, and what it returned."""
