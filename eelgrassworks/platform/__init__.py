"""Adapter to the platform that the processes run on.

This package decodes the platform's messages into the types of the system and
makes no decisions.  Names and formats of the platform occur nowhere else.
"""
