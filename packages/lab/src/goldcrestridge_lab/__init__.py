"""Engine model, stand-ins and measurements."""
