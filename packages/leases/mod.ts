/**
 * Slot leases and rate leases: the owner's allocation by weighted max-min and
 * the holders' shares.
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
