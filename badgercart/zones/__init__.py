"""Zones and regions that fail over by one plan, and traffic that stays near while that is safe.

- `topology`: zones, regions and routing costs.
- `failure_detector`, `demand`, `zone_observer`: what this node observes of each zone.
- `zone_reports`, `circuit_breaker`, `zone_conditions`: what all nodes report, and the capacity that
  counts.
- `traffic_plan`, `plan_codec`, `plan_scheduler`, `planner`: plans, and when another one is due.
- `plan_consensus` with `plan_proposer`, `plan_voter`, `plan_store`, `consensus_messages` and
  `consensus_state`: a majority agrees on one plan at a time, under a lease.
- `operator_overrides`: what operators want of a zone.
- `policy_feed`: the policy's input.
- `failover_controller` puts them together; `component` runs it on the node's clock and sockets.
- `presentation`, `change_logger`, `metrics`, `commands`: what operators see.

Only `component`, `health_check` and `commands` do I/O. The package stands on `cluster`.
"""
