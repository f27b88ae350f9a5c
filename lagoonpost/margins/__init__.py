"""Measures from gateways' logs how closely they kept to their bounds."""
