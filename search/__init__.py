"""Guided search for fault schedules that come close to breaking a rule."""
