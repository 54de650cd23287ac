/**
 * Protocol between the nodes of two workers: frames with a JSON head and a raw
 * body, and links that carry many calls at once over one TCP connection.
 *
 * @module
 */

export * from "./frame.ts";
export * from "./frame_codec.ts";
export * from "./link.ts";
