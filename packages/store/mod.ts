/**
 * Client of the platform's object store with versions, conditional updates and
 * watches, and a stand-in server whose faults can be switched on for tests.
 *
 * @module
 */

export * from "./store.ts";
