"""Administrative ejection: operators eject servers and reinstate them later.

- `ledger.EjectionLedger` stores the ejections and overrides discovered endpoints
- `ejection_file.EjectionFile` persists the state
- `ejections.AdministrativeEjections` connects both with the endpoint table of a node
"""
