"""The simulator's adapter: one process hosts the policies of many edge proxies, which share nothing."""
