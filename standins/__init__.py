"""Stand-ins for the external systems that the router talks to."""
