"""Whole fleets in simulated time, with the production routing policy and the fakes' server model."""
