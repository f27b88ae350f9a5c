"""``python -m lagoonpost_standins``."""

from lagoonpost_standins.main import main

main(prog_name="lagoonpost-standin")
