"""The forwarding gateway: passes requests unchanged to runners."""
