"""Where the server list comes from: `entries` reads its lines, `catalog` follows the platform's
service."""
