"""The adapter for the simulator: one process hosts the policies of many independent edge proxies."""
