/**
 * Retry allowance of a call chain, the decision to retry, and the retry budget of each organisation.
 *
 * @module
 */

export {};
