"""The path of a request straight to a backend server over HTTP."""
