"""Whole fleets in simulated time: the unchanged routing policy, the server model of the fakes, day files."""
