"""Configuration: parses INI files into validated Structs and reports errors with file, line and reason."""
