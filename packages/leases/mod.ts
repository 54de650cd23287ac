/**
 * Slot leases and rate leases: the owner's allocation by weighted max-min and the holder's pools.
 *
 * @module
 */

export {};
