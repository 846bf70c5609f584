"""The command line: parses arguments, calls the packages below it, and prints results."""
