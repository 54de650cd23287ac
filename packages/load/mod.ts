/**
 * Load generator with a latency histogram and a JSON report.
 *
 * @module
 */

export {};
