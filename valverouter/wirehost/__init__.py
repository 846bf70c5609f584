"""The decisions on the simulator's wire: one process, many edge proxies, nothing shared among them."""
