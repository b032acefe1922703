"""The platform's clients over HTTP/1.1; its entry is ``clients.Listener``."""
