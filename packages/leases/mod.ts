/**
 * Slot leases and rate leases: a slot lease lets a node use a number of a
 * worker's slots, and a rate lease lets it use part of an organisation's limit
 * of calls per second. Owners allocate by max-min fairness and grant leases for
 * a term; holders report demand and renew their leases.
 *
 * @module
 */

export * from "./adaptive_limit.ts";
export * from "./allocation.ts";
export * from "./rate_lease_owner_ranking.ts";
export * from "./lease_demand.ts";
export * from "./lease_timing.ts";
export * from "./loopback_channel.ts";
export * from "./rate_lease.ts";
export * from "./rate_lease_owner.ts";
export * from "./slot_lease_holder.ts";
export * from "./slot_lease_owner.ts";
