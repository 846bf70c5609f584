"""What each dialog of a former self needs after a restart: pure, from records, times and what peers say."""
