"""Attempts over HTTP/1.1 on pooled connections to endpoints; its entry is `transport.HttpTransport`."""
