"""Who may be out at once, agreed: limits, permits with fencing numbers, the council that gives them. Pure."""
