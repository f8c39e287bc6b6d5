"""Command-line program for operators of a deployment."""
