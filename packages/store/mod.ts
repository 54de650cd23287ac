/**
 * Client of the platform's object store with versions, conditional updates and
 * watches, and a stand-in server whose faults can be switched on for tests.
 *
 * @module
 */

export * from "./store.ts";
export * from "./http_store.ts";
export * from "./memory_store.ts";
export * from "./platform_stand_in.ts";
export * from "./store_faults.ts";
