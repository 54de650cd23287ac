/**
 * Operator RPC service.
 *
 * @module
 */

export {};
