/**
 * Protocol between the nodes of two workers: frames with a JSON head and a
 * binary body, and links that carry many concurrent calls over one TCP
 * connection.
 *
 * @module
 */

export * from "./body_block.ts";
export { MAX_CLAIMED_CALLS, MAX_CLAIMED_LINKS } from "./_claim_fields.ts";
export * from "./frame.ts";
export * from "./frame_codec.ts";
export * from "./link.ts";
export * from "./listen.ts";
export * from "./socket_end.ts";
