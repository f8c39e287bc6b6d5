"""State machines of goldcrestridge, without input or output."""
