"""Runs the command line as ``python -m lagoonpost``."""

from lagoonpost.cli.main import main

main()
