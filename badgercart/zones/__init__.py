"""Failover among zones and regions by one traffic plan, with traffic kept local while possible.

- `topology`: zones, regions and routing costs.
- `failure_detector`, `demand`, `zone_observer`: what this node observes of each zone.
- `zone_reports`, `circuit_breaker`, `zone_conditions`: what all nodes report, and the resulting
  usable capacity.
- `traffic_plan`, `plan_codec`, `plan_scheduler`, `planner`: plans, and when a new one is due.
- `plan_consensus` with `plan_proposer`, `plan_voter`, `plan_store`, `consensus_messages` and
  `consensus_state`: a majority agrees on one plan at a time, under a lease.
- `operator_overrides`: zones that operators drain or pin.
- `policy_feed`: the policy's input.
- `failover_controller` connects these parts; `component` runs it on the node's clock and sockets.
- `presentation`, `change_logger`, `metrics`, `commands`: the interface to operators.

Only `component`, `health_check` and `commands` do I/O. The package depends on `cluster`.
"""
