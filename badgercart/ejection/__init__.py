"""Administrative ejection: servers that operators take out of use until they put them back.

`ledger.EjectionLedger` decides, `ejection_file.EjectionFile` keeps the state on disk, and
`ejections.AdministrativeEjections` puts both in force at a node.
"""
