"""Small stand-ins for the platform's services, for the test scripts under `review/`."""
