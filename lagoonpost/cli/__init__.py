"""The command line: arguments in, library calls, messages out."""
