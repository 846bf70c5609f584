"""Cross-region traffic: the limiter of attempts that leave the home region, quotas, usage and planning.

Pure decision code: no I/O, no clock and no randomness of its own. Times are integer nanoseconds that the
caller passes in.
"""
