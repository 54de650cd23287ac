/**
 * Records of the workers of all services and the operator's current
 * configuration, as one node has them, and the interface to the platform's
 * store.
 *
 * @module
 */

export * from "./configuration.ts";
export * from "./configuration_holder.ts";
export * from "./platform_store.ts";
export * from "./store_era.ts";
export * from "./worker_directory.ts";
export * from "./worker_record.ts";
