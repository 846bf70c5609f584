"""Checks of a traffic record, which read its rows alone and nothing of the edge proxies' own state."""
