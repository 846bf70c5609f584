"""Checks a traffic record against the rules, from its rows only and not from the state of edge proxies."""
