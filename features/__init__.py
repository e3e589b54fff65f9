"""Features proved with real processes."""
