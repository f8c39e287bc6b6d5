"""Sockets, files and timers around the goldcrestridge core."""
