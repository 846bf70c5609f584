"""Whole fleets in simulated time: unchanged decisions, the server model of the stand-ins, day files."""
