"""Runs scenarios: a fleet, its load and its faults from one INI file, on loopback or in virtual time."""
