/**
 * The oleanderdeckd process: start, wiring, warm-up and graceful stop.
 *
 * @module
 */

export {};
