/**
 * Membership of the fleet: the nodes and their workers, failure detection with
 * indirect probes, gossip and anti-entropy, and signed datagrams between nodes.
 *
 * @module
 */

export * from "./datagram_transport.ts";
export * from "./incarnation.ts";
export * from "./member_view.ts";
export * from "./membership.ts";
export * from "./membership_options.ts";
export * from "./memory_network.ts";
export * from "./peer_clients.ts";
export * from "./peer_keys.ts";
export * from "./peer_signature.ts";
export * from "./udp_transport.ts";
