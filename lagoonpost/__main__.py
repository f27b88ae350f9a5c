"""Entry point for ``python -m lagoonpost``."""

from lagoonpost.cli.main import main

main()
