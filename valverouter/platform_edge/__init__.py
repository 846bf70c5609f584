"""The edge proxy on the operators' platform: process start, callers, links to servers, event bus, signals."""
