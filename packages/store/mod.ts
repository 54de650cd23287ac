/**
 * Client of the platform's object store, which has versions, conditional writes
 * and watches, and a stand-in server with fault injection for tests.
 *
 * @module
 */

export * from "./store.ts";
export * from "./http_store.ts";
export * from "./memory_store.ts";
export * from "./platform_stand_in.ts";
export * from "./store_faults.ts";
