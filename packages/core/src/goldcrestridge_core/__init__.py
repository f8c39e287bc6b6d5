"""State machines of goldcrestridge; they do no input or output of their own."""
