"""Settings: INI in, checked and typed terms out; errors with file, line and reason."""
