"""Engine models, stand-ins of engines and services, benchmarks and fault tests."""
