/**
 * Loopback address of this process. With an address of its own, tests of another
 * process cannot take a drawn port before a node listens on it. Process identities
 * of Linux have at most 22 bits.
 */
export const TEST_ADDRESS = `127.${1 + (process.pid >> 16)}.${
  (process.pid >> 8) & 255
}.${process.pid & 255}`;

/** First port that is drawn: below those that the kernel draws. */
const FIRST_PORT = 10_000;

let drawnPorts = 0;

/**
 * Draws a port of the test address that nobody listens on. All listeners of tests
 * on that address use such ports: one that listens on port 0 could be given a port
 * that was drawn for a node which does not listen yet.
 */
export function drawTestPort(): number {
  return FIRST_PORT + drawnPorts++;
}
