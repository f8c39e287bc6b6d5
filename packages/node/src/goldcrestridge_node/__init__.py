"""Sockets, files and timers round the goldcrestridge core."""
