"""Agent process: admits and runs the requests of one backend server."""
