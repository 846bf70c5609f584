"""The edge proxy behind the operators' platform: its start, callers, links, event bus and signals."""
