"""Endpoint discovery: the platform's catalog, endpoints listed in the settings file, and etcd."""
