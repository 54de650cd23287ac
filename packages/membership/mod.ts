/**
 * Membership of the fleet: peers and their workers, failure detection with
 * indirect probes, anti-entropy, and the signed datagrams between nodes.
 *
 * @module
 */

export * from "./member_view.ts";
export * from "./peer_keys.ts";
