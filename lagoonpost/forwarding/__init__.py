"""The gateway that forwards calls unchanged to runners."""
