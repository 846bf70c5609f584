"""Soak runs of edge proxy processes on loopback: plans drawn from seeds, judged by the recorded traffic."""
