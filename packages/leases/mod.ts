/**
 * Slot leases and rate leases: a slot lease lets a node use a number of a
 * worker's slots, and a rate lease lets it use part of an organisation's limit
 * of calls per second. Owners allocate by max-min fairness and grant leases for
 * a term; holders report demand and renew their leases.
 *
 * Token shares do the same for an organisation's limit without owners: each host
 * accrues an equal part of the rate, deposits what it does not need at a broker
 * and gets what it lacks; see docs/design/quotas.md.
 *
 * @module
 */

export * from "./adaptive_limit.ts";
export * from "./allocation.ts";
export * from "./rate_lease_owner_ranking.ts";
export * from "./host_share.ts";
export * from "./lease_demand.ts";
export * from "./lease_timing.ts";
export * from "./loopback_channel.ts";
export * from "./rate_lease.ts";
export * from "./rate_lease_owner.ts";
export * from "./slot_lease_holder.ts";
export * from "./slot_lease_owner.ts";
export * from "./token_broker.ts";
export * from "./token_limits.ts";
export * from "./token_share.ts";
