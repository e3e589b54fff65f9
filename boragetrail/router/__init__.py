"""Router process: forwards callers' requests to agents of servers."""
