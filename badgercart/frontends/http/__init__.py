"""The HTTP/1.1 frontend. Its entry point is `clients.Listener`."""
