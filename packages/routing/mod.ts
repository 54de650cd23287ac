/**
 * Choice of a worker among those with free slots.
 *
 * @module
 */

export {};
