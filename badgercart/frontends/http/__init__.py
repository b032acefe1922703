"""The frontend of the platform's clients over HTTP/1.1; its entry is `frontend.HttpFrontend`."""
