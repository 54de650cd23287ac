/**
 * Policies that select a worker among those with free slots.
 *
 * @module
 */

export * from "./routing_policy.ts";
