"""Cross-region traffic: the limiter of attempts to other regions, its quotas, usage counts and planning.

Pure decision code: no I/O, no clock and no randomness of its own. Times are integer nanoseconds that the
caller passes in.
"""
