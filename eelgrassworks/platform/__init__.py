"""The users' platform: its names, formats and calls.

Nothing here decides anything, and nothing outside this package knows the
platform's names.  Each name is decoded once, into a type of the product.
"""
