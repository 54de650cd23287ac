/**
 * The oleanderdeck command.
 *
 * @module
 */

export {};
