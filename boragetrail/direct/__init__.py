"""The direct router, which sends requests to backend servers over HTTP."""
