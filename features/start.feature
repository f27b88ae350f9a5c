Feature: The system runs as separate processes
